package command

import (
	"context"
	"flag"
	"io"
	"net"
	"net/netip"
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
		Summary: "run a control replica with the settings file of the users' platform",
		Setup:   func(*flag.FlagSet) func(context.Context, Invocation) error { return runPlatformControl },
	})
	register(Command{
		Name:    "platform-entry",
		Summary: "run an entry box with the settings file of the users' platform",
		Setup:   func(*flag.FlagSet) func(context.Context, Invocation) error { return runPlatformEntry },
	})
}

const (
	// gcPercent keeps the heap small: the users' boxes have little memory, and as
	// the heap is only a few megabytes, frequent collections are cheap.
	gcPercent = 25
	// softMemoryShare is the share of the memory limit that is set as the soft
	// limit of the garbage collector, above which it runs more often.
	softMemoryShare = 0.7
	// peerListenEnv is the environment variable with the address on which a
	// control replica listens for the others if they reach it through a proxy.
	peerListenEnv = config.EnvPrefix + "_PEER_LISTEN"
	// targetNetworkEnv is the environment variable with the network in which an entry box reaches
	// targets whose addresses are translated.
	targetNetworkEnv = config.EnvPrefix + "_TARGET_NETWORK"
	// entryMetricsPort is the port on which an entry box exposes its metrics.
	entryMetricsPort = ":9464"
	// electionTimeout of control replicas allows for several round trips of 70 ms
	// and disk syncs, and lets a new leader be elected well within the 4 s in which
	// operators' requests must take effect.
	electionTimeout = 800 * time.Millisecond
	// snapshotEvery bounds the size of the log: registrations are short, but a
	// routes document takes up to a few hundred kilobytes.
	snapshotEvery = 256
)

// readPlatformSettings reads the settings file of the platform and configures the
// garbage collector for its memory limit.
func readPlatformSettings() (path string, s platform.Settings, err error) {
	path = os.Getenv(platform.SettingsEnv)
	if path == "" {
		return "", s, usageError("environment variable %s is empty; it must contain the path of the settings file", platform.SettingsEnv)
	}
	s, err = platform.ReadSettings(path)
	if err != nil {
		return path, s, &ExitError{ExitUsage, err}
	}
	debug.SetGCPercent(gcPercent)
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(softMemoryShare * float64(s.MemoryBytes)))
	}
	return path, s, nil
}

// watchPlatformSettings calls changed when the settings file has changed or on
// SIGHUP, until the context ends or stop is called.
func watchPlatformSettings(ctx context.Context, path string, log zerolog.Logger, changed func(platform.Settings)) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	done := make(chan struct{})
	go func() {
		defer close(done)
		platform.Watch(ctx, path, signals, func(s platform.Settings) {
			log.Info().Str("kind", "reload").Strs("seeds", s.Seeds).Msg("settings file reloaded")
			changed(s)
		}, func(err error) {
			log.Error().Str("kind", "reload").Err(err).Msg("failed to reload the settings file; the previous settings stay in effect")
		})
	}()
	return func() {
		cancel()
		<-done
		signal.Stop(signals)
	}
}

func runPlatformEntry(ctx context.Context, in Invocation) error {
	path, s, err := readPlatformSettings()
	if err != nil {
		return err
	}
	host, _, err := splitHost(s.PeerAddress)
	if err != nil {
		return err
	}
	translate, err := parseTargetNetwork(os.Getenv(targetNetworkEnv))
	if err != nil {
		return err
	}
	d, err := gateway.Open(gateway.Config{
		TargetAddress:  translate,
		Name:           s.Name,
		Zone:           s.Zone,
		Region:         s.Region,
		RegionOf:       s.RegionOf,
		CallerAddress:  s.CallerAddress,
		ReadyAddress:   s.ReadyAddress,
		MetricsAddress: host + entryMetricsPort,
		PeerAddress:    s.PeerAddress,
		Seeds:          s.Seeds,
		Protocol:       platform.Protocol(),
		DecodeRoutes:   platform.NewRoutesDecoder().Decode,
		RetryShare:     s.RetryShare,
		RetryExtra:     s.RetryExtra,
		RetryWindow:    s.RetryWindow,
		Restarted:      !s.FirstStart,
		LinkBytes:      s.LinkBytes,
		StopTime:       s.StopTime,
		LogLevel:       zerolog.InfoLevel,
		ReadyHandler:   platform.ReadyHandler,
	}, in.Out)
	if err != nil {
		return err
	}
	stop := watchPlatformSettings(ctx, path, d.Log(), func(s platform.Settings) { d.SetSeeds(s.Seeds) })
	defer stop()
	return ignoreCanceled(d.Run(ctx))
}

// parseTargetNetwork parses the network in which an entry box reaches targets. The result replaces the
// leading bits of a target's address by those of the network; it is nil if the text is empty.
func parseTargetNetwork(text string) (func(registered string) string, error) {
	if text == "" {
		return nil, nil
	}
	network, err := netip.ParsePrefix(text)
	if err != nil || !network.Addr().Is4() {
		return nil, usageError("environment variable %s is %q; it must be an IPv4 network such as 10.1.0.0/16", targetNetworkEnv, text)
	}
	return func(registered string) string { return translate(network, registered) }, nil
}

// translate replaces the leading bits of an IPv4 address by those of a network.
func translate(network netip.Prefix, registered string) string {
	address, err := netip.ParseAddrPort(registered)
	if err != nil || !address.Addr().Is4() {
		return registered
	}
	host, prefix := address.Addr().As4(), network.Masked().Addr().As4()
	for i := range host {
		mask := byte(0xff << (8 - min(max(network.Bits()-8*i, 0), 8)))
		host[i] = host[i]&^mask | prefix[i]
	}
	return netip.AddrPortFrom(netip.AddrFrom4(host), address.Port()).String()
}

func runPlatformControl(ctx context.Context, in Invocation) error {
	path, s, err := readPlatformSettings()
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
	stop := watchPlatformSettings(ctx, path, d.Log(), func(s platform.Settings) { d.AddSeeds(s.Seeds) })
	defer stop()
	return ignoreCanceled(d.Run(ctx))
}

func openPlatformControl(s platform.Settings, log io.Writer) (*control.Daemon, error) {
	zones := make([]string, 0, len(s.RegionOf))
	for z := range s.RegionOf {
		zones = append(zones, z)
	}
	d, err := control.Open(config.Control{
		Common:              config.Common{Name: s.Name, PeerAddress: s.PeerAddress, OperatorAddress: s.OperatorAddress, LogLevel: "info"},
		PeerListenAddress:   os.Getenv(peerListenEnv),
		DataDir:             s.DataDir,
		Peers:               s.Seeds,
		ElectionTimeout:     electionTimeout,
		SnapshotEvery:       snapshotEvery,
		PeersAreSeeds:       true,
		MayBootstrap:        s.FirstStart,
		ToleratedDiskLosses: s.ToleratedDiskLosses,
		Zones:               zones,
		LookupTTL:           s.LookupTTL,
		LimitBound:          s.LimitBound,
		RolloutShare:        s.RolloutShare,
		MemoryBytes:         s.MemoryBytes,
		DecodeRoutes:        platform.DecodeRoutes,
	}, log)
	if err != nil {
		return nil, err
	}
	api := platform.ControlAPI{
		Register: d.Register, Deregister: d.Deregister, DeregisterIncarnation: d.DeregisterIncarnation, PutRoutes: d.PutRoutes, Routes: d.Routes, Evacuate: d.Evacuate,
		StartRollout: d.StartRollout, Rollout: d.Rollout, OnInvalidHeartbeat: d.RecordRejectedUpdate,
	}
	if s.ControlAddress != "" {
		if err := d.AddHandler("calls", s.ControlAddress, api.Handler()); err != nil {
			return nil, err
		}
	}
	if s.LookupAddress != "" {
		if err := d.AddHandler("lookups", s.LookupAddress, platform.LookupAPI{Boxes: d.BoxesFor}.Handler()); err != nil {
			return nil, err
		}
	}
	return d, nil
}

func splitHost(address string) (host, port string, err error) {
	host, port, err = net.SplitHostPort(address)
	return host, port, errors.Wrapf(err, "splitting the peer address %q", address)
}
