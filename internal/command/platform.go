package command

import (
	"context"
	"flag"
	"io"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"ledgesill.dev/ledgesill/internal/config"
	"ledgesill.dev/ledgesill/internal/control"
	"ledgesill.dev/ledgesill/internal/gateway"
	"ledgesill.dev/ledgesill/internal/process"
	"ledgesill.dev/ledgesill/platform"
)

func init() {
	register(Command{
		Name:    "platform-control",
		Summary: "run a control replica with the users' platform's settings file",
		Options: func(*flag.FlagSet) func(context.Context, Invocation) error { return runPlatformControl },
	})
	register(Command{
		Name:    "platform-entry",
		Summary: "run an entry box with the users' platform's settings file",
		Options: func(*flag.FlagSet) func(context.Context, Invocation) error { return runPlatformEntry },
	})
}

const (
	// collectorPercent keeps the heap small: memory is dear on the users'
	// boxes and the heap of a box is a few megabytes.
	collectorPercent = 25
	// memoryShare is the part of the memory limit at which the collector works
	// harder.
	memoryShare = 0.7
	// peerListenVariable names where a control replica listens for the others,
	// if they reach it through a proxy.
	peerListenVariable = config.Prefix + "_PEER_LISTEN"
	// metricsPort is where an entry box tells its metrics.
	metricsPort = ":9464"
	// electionTimeout of control replicas: several round trips of 70 ms and
	// syncs; a new leader is there well within the 4 s that orders may take.
	electionTimeout = 800 * time.Millisecond
	// snapshotEvery bounds the log: registrations are short, a document of
	// routes is up to some hundred kilobytes.
	snapshotEvery = 256
)

// readPlatform reads the settings file of the platform.
func readPlatform() (path string, s platform.Settings, err error) {
	path = os.Getenv(platform.SettingsVariable)
	if path == "" {
		return "", s, usageError("variable %s is empty; it names the settings file", platform.SettingsVariable)
	}
	s, err = platform.ReadSettings(path)
	if err != nil {
		return path, s, &ExitError{ExitUsage, err}
	}
	debug.SetGCPercent(collectorPercent)
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryBytes)))
	}
	return path, s, nil
}

// watchPlatform follows changes of the settings file until the context ends.
func watchPlatform(ctx context.Context, path string, log zerolog.Logger, changed func(platform.Settings)) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		platform.Watch(ctx, path, signals, func(s platform.Settings) {
			log.Info().Str("kind", "reload").Strs("seeds", s.Seeds).Msg("took the settings file anew")
			changed(s)
		}, func(err error) {
			log.Error().Str("kind", "reload").Err(err).Msg("can't take the settings file; the settings before stay in force")
		})
	}()
	return func() {
		cancel()
		<-ended
		signal.Stop(signals)
	}
}

func runPlatformEntry(ctx context.Context, in Invocation) error {
	path, s, err := readPlatform()
	if err != nil {
		return err
	}
	host, _, err := splitHost(s.Peers)
	if err != nil {
		return err
	}
	d, err := gateway.Open(gateway.Config{
		Name:         s.Name,
		Zone:         s.Zone,
		Region:       s.Region,
		RegionOf:     s.RegionOf,
		Callers:      s.Callers,
		Ready:        s.Ready,
		Metrics:      host + metricsPort,
		Peers:        s.Peers,
		Seeds:        s.Seeds,
		Protocol:     platform.Protocol(),
		DecodeRoutes: platform.NewRoutesDecoder().Decode,
		RetryShare:   s.RetryShare,
		RetryExtra:   s.RetryExtra,
		RetryWindow:  s.RetryWindow,
		Restarted:    !s.FirstStart,
		LinkBytes:    s.LinkBytes,
		StopTime:     s.StopTime,
		LogLevel:     zerolog.InfoLevel,
		ReadyHandler: platform.ReadyHandler,
	}, in.Out)
	if err != nil {
		return err
	}
	stop := watchPlatform(ctx, path, d.Log(), func(s platform.Settings) { d.SetSeeds(s.Seeds) })
	defer stop()
	return ignoreCanceled(d.Run(ctx))
}

func runPlatformControl(ctx context.Context, in Invocation) error {
	path, s, err := readPlatform()
	if err != nil {
		return err
	}
	lines := process.NewLogWriter(in.Out)
	logging, stopLogging := context.WithCancel(context.Background())
	logged := make(chan error, 1)
	go func() { logged <- lines.Run(logging) }()
	defer func() {
		stopLogging()
		<-logged
	}()
	d, err := openPlatformControl(s, lines)
	if err != nil {
		return err
	}
	stop := watchPlatform(ctx, path, d.Log(), func(s platform.Settings) { d.AddSeeds(s.Seeds) })
	defer stop()
	return ignoreCanceled(d.Run(ctx))
}

func openPlatformControl(s platform.Settings, log io.Writer) (*control.Daemon, error) {
	zones := make([]string, 0, len(s.RegionOf))
	for z := range s.RegionOf {
		zones = append(zones, z)
	}
	d, err := control.Open(config.Control{
		Common:          config.Common{Name: s.Name, PeerAddress: s.Peers, OperatorAddress: s.OwnOperators, LogLevel: "info"},
		PeerListen:      os.Getenv(peerListenVariable),
		Folder:          s.Folder,
		Peers:           s.Seeds,
		ElectionTimeout: electionTimeout,
		SnapshotEvery:   snapshotEvery,
		Seeded:          true,
		MayForm:         s.FirstStart,
		SpareFailures:   s.SpareDisks,
		Zones:           zones,
		LookupTTL:       s.LookupTTL,
		LimitBound:      s.LimitBound,
		DecodeRoutes:    platform.DecodeRoutes,
	}, log)
	if err != nil {
		return nil, err
	}
	calls := platform.Control{Register: d.Register, Leave: d.Deregister, PutRoutes: d.PutRoutes, Routes: d.Routes, Evacuate: d.Evacuate, Unread: d.RecordRejectedUpdate}
	if s.Operators != "" {
		if err := d.AddHandler("calls", s.Operators, calls.Handler()); err != nil {
			return nil, err
		}
	}
	if s.Lookups != "" {
		if err := d.AddHandler("lookups", s.Lookups, platform.Lookups{Boxes: d.BoxesFor}.Handler()); err != nil {
			return nil, err
		}
	}
	return d, nil
}

func splitHost(address string) (host, port string, err error) {
	host, port, err = net.SplitHostPort(address)
	return host, port, errors.Wrap(err, "the peer address")
}
