// Package config reads the settings of a daemon from flags and environment
// variables and validates them before the daemon starts. The environment variable
// of the flag -peer-address is LEDGESILL_PEER_ADDRESS.
package config

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/rs/zerolog"

	"ledgesill.dev/ledgesill/internal/boottime"
	"ledgesill.dev/ledgesill/pkg/catalog"
	"ledgesill.dev/ledgesill/pkg/quota"
)

// EnvPrefix is the prefix of the names of the environment variables.
const EnvPrefix = "LEDGESILL"

// ValueError names a setting whose value is invalid.
type ValueError struct {
	Flag    string
	Value   string
	Allowed string
}

// Error implements error.
func (e *ValueError) Error() string {
	return fmt.Sprintf("flag -%s (environment variable %s): value %q is not allowed; allowed is %s", e.Flag, EnvName(e.Flag), e.Value, e.Allowed)
}

// EnvName returns the name of the environment variable of a flag.
func EnvName(flag string) string {
	return EnvPrefix + "_" + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// Common holds the settings that all daemons have.
type Common struct {
	// Clock replaces the clock of the machine in tests; nil for the real one. No
	// flag sets it.
	Clock           *boottime.Clock
	Name            string
	PeerAddress     string
	OperatorAddress string
	LogLevel        string
	Certificate     string
	CertificateKey  string
	Authority       string
}

func (c *Common) register(fs *flag.FlagSet) {
	fs.StringVar(&c.Name, "name", "", "name of this process, unique in the system")
	fs.StringVar(&c.PeerAddress, "peer-address", "", "IP address and port for the other processes")
	fs.StringVar(&c.OperatorAddress, "operator-address", "", "IP address and port for operators and metrics")
	fs.StringVar(&c.LogLevel, "log-level", "info", "minimum level that is logged: debug, info, warn or error")
	fs.StringVar(&c.Certificate, "certificate", "", "file of this process's certificate; empty for connections without TLS")
	fs.StringVar(&c.CertificateKey, "certificate-key", "", "file of the certificate's key")
	fs.StringVar(&c.Authority, "authority", "", "file of the certificate authority that signs all certificates")
}

func (c *Common) check() error {
	return errors.Join(
		checkName("name", c.Name),
		CheckAddress("peer-address", c.PeerAddress),
		CheckAddress("operator-address", c.OperatorAddress),
		checkChoice("log-level", c.LogLevel, "debug", "info", "warn", "error"),
		c.checkTLS(),
	)
}

func (c *Common) checkTLS() error {
	files := map[string]string{"certificate": c.Certificate, "certificate-key": c.CertificateKey, "authority": c.Authority}
	set := 0
	for _, f := range files {
		if f != "" {
			set++
		}
	}
	if set != 0 && set != len(files) {
		return &ValueError{"certificate", c.Certificate, "a file, together with -certificate-key and -authority, or none of the three"}
	}
	return nil
}

// Level returns the minimum level that is logged.
func (c *Common) Level() zerolog.Level {
	l, err := zerolog.ParseLevel(c.LogLevel)
	if err != nil {
		return zerolog.InfoLevel
	}
	return l
}

// Control holds the settings of a control replica.
type Control struct {
	Common
	DataDir         string
	Peers           []string
	Token           string
	ElectionTimeout time.Duration
	SnapshotEvery   int
	// PeerListenAddress is where the replica listens for other processes if they
	// reach it through a proxy at PeerAddress; empty if it listens there itself.
	PeerListenAddress string
	// PeersAreSeeds reports whether Peers are only some of the control replicas,
	// through which the others are discovered; the membership then grows by the
	// replicas that ask to join. Otherwise Peers is the whole membership.
	PeersAreSeeds bool
	// MayBootstrap allows a replica that is one of the seeds, and whose disk is
	// empty, to form the initial membership together with the other seeds.
	MayBootstrap bool
	// ToleratedDiskLosses is how many disks may be lost at once. A membership that
	// grows from seeds does not shrink below the size that tolerates this.
	ToleratedDiskLosses int
	// Zones lists all availability zones; it validates operators' requests that
	// name a zone.
	Zones []string
	// LookupTTL is the longest validity of a lookup response.
	LookupTTL time.Duration
	// LimitBound is by how much a workspace may exceed its limit, over all entry
	// boxes together.
	LimitBound quota.Bound
	// RolloutShare is the share of a service's requests that a version may get
	// during a roll-out while it is not known to be good; zero for the default.
	RolloutShare float64
	// MemoryBytes is the memory limit of the process; zero if there is none. It
	// bounds the connections of handlers that the platform adds.
	MemoryBytes int64
	// DecodeRoutes decodes the text of a routes document; nil for the native
	// format.
	DecodeRoutes func(text []byte) (catalog.Document, error)
}

// Entry holds the settings of an entry box's daemon.
type Entry struct {
	Common
	CallerAddress string
	Region        string
	Zone          string
	Controls      []string
	PlatformList  string
}

// ParseResult reports whether the arguments asked for help, which has then been
// printed.
type ParseResult struct{ Help bool }

// ReadControl reads and validates the settings of a control replica.
func ReadControl(args []string, out io.Writer) (Control, ParseResult, error) {
	var c Control
	fs := newFlagSet("ledgesill control", out)
	c.register(fs)
	fs.StringVar(&c.DataDir, "folder", "", "data directory on a disk")
	peers := fs.String("peers", "", "comma-separated peer addresses of all control replicas, this one included")
	fs.StringVar(&c.Token, "token", "", "token that operators must send to make changes; empty for none")
	fs.DurationVar(&c.ElectionTimeout, "election-timeout", time.Second, "how long a replica waits for a leader before it starts an election, 100ms to 30s")
	fs.IntVar(&c.SnapshotEvery, "snapshot-every", defaultSnapshotEvery, "log entries between snapshots, 16 to 100000")
	fs.DurationVar(&c.LimitBound.Window, "limit-window", defaultLimitWindow, "window over which a workspace's requests are counted, 1s or more")
	excess := fs.Float64("limit-excess", defaultLimitExcess, "percentage by which a workspace may exceed its limit in a window, 0 to 100")
	fs.Float64Var(&c.LimitBound.Slack, "limit-extra", defaultLimitExtra, "requests that a workspace may send beyond that in each window")
	rolloutPercent := fs.Float64("rollout-percent", defaultRolloutPercent, "percentage of a service's requests that a version may get during a roll-out while it is not known to be good, above 0 to 100")
	help, err := parse(fs, args)
	if help || err != nil {
		return c, ParseResult{help}, err
	}
	c.RolloutShare = *rolloutPercent / maxPercent
	c.Peers = SplitList(*peers)
	c.LimitBound.Excess = *excess / maxPercent
	return c, ParseResult{}, c.check()
}

const (
	defaultSnapshotEvery = 512
	minSnapshotEvery     = 16
	maxSnapshotEvery     = 100_000
	minElectionTimeout   = 100 * time.Millisecond
	maxElectionTimeout   = 30 * time.Second
	maxPeers             = 8

	// By default a workspace may exceed its limit by as much as in the users'
	// deployments.
	defaultLimitWindow = 5 * time.Second
	defaultLimitExcess = 10
	defaultLimitExtra  = 20
	minLimitWindow     = time.Second

	defaultRolloutPercent = 10
)

func (c *Control) check() error {
	err := errors.Join(c.Common.check(), checkAddresses("peers", c.Peers))
	if c.DataDir == "" {
		err = errors.Join(err, &ValueError{"folder", "", "the path of a directory"})
	}
	if c.RolloutShare <= 0 || c.RolloutShare > 1 {
		err = errors.Join(err, &ValueError{"rollout-percent", fmt.Sprint(c.RolloutShare * maxPercent), "a percentage above 0 to 100"})
	}
	if len(c.Peers) > maxPeers {
		err = errors.Join(err, &ValueError{"peers", strings.Join(c.Peers, ","), fmt.Sprintf("at most %d addresses", maxPeers)})
	}
	if !slices.Contains(c.Peers, c.PeerAddress) {
		err = errors.Join(err, &ValueError{"peers", strings.Join(c.Peers, ","), "a list that contains the address of -peer-address"})
	}
	if c.ElectionTimeout < minElectionTimeout || c.ElectionTimeout > maxElectionTimeout {
		err = errors.Join(err, &ValueError{"election-timeout", c.ElectionTimeout.String(), "100ms to 30s"})
	}
	err = errors.Join(err, checkRange("limit-excess", c.LimitBound.Excess*maxPercent, maxPercent), checkRange("limit-extra", c.LimitBound.Slack, 0))
	if c.LimitBound.Window < minLimitWindow {
		err = errors.Join(err, &ValueError{"limit-window", c.LimitBound.Window.String(), "1s or more"})
	}
	if c.SnapshotEvery < minSnapshotEvery || c.SnapshotEvery > maxSnapshotEvery {
		err = errors.Join(err, &ValueError{"snapshot-every", fmt.Sprint(c.SnapshotEvery), "16 to 100000"})
	}
	return err
}

// ReadEntry reads and validates the settings of an entry box's daemon.
func ReadEntry(args []string, out io.Writer) (Entry, ParseResult, error) {
	var c Entry
	fs := newFlagSet("ledgesill entry", out)
	c.register(fs)
	fs.StringVar(&c.CallerAddress, "caller-address", "", "IP address and port for callers")
	fs.StringVar(&c.Region, "region", "", "region of this entry box")
	fs.StringVar(&c.Zone, "zone", "", "availability zone of this entry box")
	controls := fs.String("controls", "", "comma-separated peer addresses of the control replicas")
	fs.StringVar(&c.PlatformList, "platform-list", "", "HTTP address of the platform's list of boxes; empty for none")
	help, err := parse(fs, args)
	if help || err != nil {
		return c, ParseResult{help}, err
	}
	c.Controls = SplitList(*controls)
	return c, ParseResult{}, errors.Join(
		c.check(),
		CheckAddress("caller-address", c.CallerAddress),
		checkName("region", c.Region),
		checkName("zone", c.Zone),
		checkAddresses("controls", c.Controls),
	)
}

func newFlagSet(name string, out io.Writer) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(out)
	return fs
}

// Parse reads flags and environment variables into a flag set. It reports whether
// the arguments asked for help, which has then been printed.
func Parse(fs *flag.FlagSet, args []string) (help bool, err error) { return parse(fs, args) }

func parse(fs *flag.FlagSet, args []string) (help bool, err error) {
	err = ff.Parse(fs, args, ff.WithEnvVarPrefix(EnvPrefix))
	if errors.Is(err, flag.ErrHelp) {
		return true, nil
	}
	if err != nil {
		return false, fmt.Errorf("reading the settings: %w", err)
	}
	return false, nil
}

// SplitList splits a comma-separated list and drops empty items.
func SplitList(text string) []string {
	var out []string
	for _, item := range strings.Split(text, ",") {
		if item = strings.TrimSpace(item); item != "" {
			out = append(out, item)
		}
	}
	return out
}

func checkName(flag, value string) error {
	if value == "" || strings.ContainsAny(value, "~,=+:/ ") {
		return &ValueError{flag, value, "a name of letters, digits, - and _"}
	}
	return nil
}

// CheckAddress returns a ValueError unless a value is an IP address and a port.
func CheckAddress(flag, value string) error {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return &ValueError{flag, value, "an IP address and a port, such as 127.0.0.1:7000"}
	}
	return nil
}

func checkAddresses(flag string, values []string) error {
	if len(values) == 0 {
		return &ValueError{flag, "", "at least one IP address and port"}
	}
	var err error
	for _, v := range values {
		err = errors.Join(err, CheckAddress(flag, v))
	}
	return err
}

func checkChoice(flag, value string, choices ...string) error {
	if slices.Contains(choices, value) {
		return nil
	}
	return &ValueError{flag, value, strings.Join(choices, ", ")}
}

// CheckFile returns a ValueError unless a file exists.
func CheckFile(flag, path string) error {
	if _, err := os.Stat(path); err != nil {
		return &ValueError{flag, path, "a file that can be read (" + err.Error() + ")"}
	}
	return nil
}
