package config

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"time"
)

// Gateway holds the settings of an entry box that routes requests by the routes
// document.
type Gateway struct {
	Common
	CallerAddress string
	ReadyAddress  string
	Region        string
	Zone          string
	// RegionOf maps every availability zone to its region.
	RegionOf map[string]string
	Controls []string
	// RetryShare, RetryExtra and RetryWindow bound the retries of requests to a
	// service, over all entry boxes: in each RetryWindow at most RetryShare percent
	// of the service's requests and RetryExtra more.
	RetryShare  float64
	RetryExtra  float64
	RetryWindow time.Duration
	// LinkBytes is the bandwidth of the box's link in bytes per second; 0 for no
	// bound.
	LinkBytes float64
	// StopTime is how long a graceful shutdown may take.
	StopTime time.Duration
}

const (
	defaultRetryPercent = 20
	defaultRetryExtra   = 10
	defaultRetryWindow  = 10 * time.Second
	defaultStopTime     = 10 * time.Second
	maxPercent          = 100
	minStopTime         = time.Second
)

// ReadGateway reads and validates the settings of an entry box that routes
// requests by the routes document.
func ReadGateway(args []string, out io.Writer) (Gateway, ParseResult, error) {
	var c Gateway
	fs := newFlagSet("ledgesill gateway", out)
	c.register(fs)
	fs.StringVar(&c.CallerAddress, "caller-address", "", "IP address and port for callers")
	fs.StringVar(&c.ReadyAddress, "ready-address", "", "IP address and port for readiness checks")
	fs.StringVar(&c.Region, "region", "", "region of this entry box")
	fs.StringVar(&c.Zone, "zone", "", "availability zone of this entry box")
	zones := fs.String("zones", "", "comma-separated list of all availability zones, as zone=region")
	controls := fs.String("controls", "", "comma-separated peer addresses of some control replicas")
	fs.Float64Var(&c.RetryShare, "retry-share", defaultRetryPercent, "retries of all boxes, as a percentage of a service's requests, 0 to 100")
	fs.Float64Var(&c.RetryExtra, "retry-extra", defaultRetryExtra, "retries of all boxes beyond that percentage in each window")
	fs.DurationVar(&c.RetryWindow, "retry-window", defaultRetryWindow, "window over which retries are counted, above 0")
	fs.Float64Var(&c.LinkBytes, "link-bytes", 0, "bandwidth of the box's link in bytes per second; 0 for no bound")
	fs.DurationVar(&c.StopTime, "stop-time", defaultStopTime, "how long a graceful shutdown may take, 1s or more")
	help, err := parse(fs, args)
	if help || err != nil {
		return c, ParseResult{help}, err
	}
	c.Controls = SplitList(*controls)
	regions, err := parseZones(*zones)
	c.RegionOf = regions
	return c, ParseResult{}, errors.Join(err, c.check())
}

// parseZones parses a comma-separated list of zone=region.
func parseZones(text string) (map[string]string, error) {
	out := make(map[string]string)
	for _, item := range SplitList(text) {
		zone, region, ok := strings.Cut(item, "=")
		if !ok || checkName("zones", zone) != nil || checkName("zones", region) != nil {
			return nil, &ValueError{"zones", text, "a list such as us-a=us,us-b=us"}
		}
		out[zone] = region
	}
	return out, nil
}

func (c *Gateway) check() error {
	err := errors.Join(
		c.Common.check(),
		CheckAddress("caller-address", c.CallerAddress),
		CheckAddress("ready-address", c.ReadyAddress),
		checkName("region", c.Region),
		checkName("zone", c.Zone),
		checkAddresses("controls", c.Controls),
		checkRange("retry-share", c.RetryShare, maxPercent),
		checkRange("retry-extra", c.RetryExtra, 0),
		checkRange("link-bytes", c.LinkBytes, 0),
	)
	if c.RegionOf[c.Zone] != c.Region {
		err = errors.Join(err, &ValueError{"zones", c.RegionOf[c.Zone], "a list that contains this box's zone with its region " + c.Region})
	}
	if c.RetryWindow <= 0 {
		err = errors.Join(err, &ValueError{"retry-window", c.RetryWindow.String(), "a duration above 0"})
	}
	if c.StopTime < minStopTime {
		err = errors.Join(err, &ValueError{"stop-time", c.StopTime.String(), "1s or more"})
	}
	return err
}

// checkRange returns a ValueError unless a value is between 0 and limit; a limit
// of 0 means no upper bound.
func checkRange(flag string, value, limit float64) error {
	if value >= 0 && (limit == 0 || value <= limit) {
		return nil
	}
	allowed := "a number of at least 0"
	if limit > 0 {
		allowed = fmt.Sprintf("0 to %g", limit)
	}
	return &ValueError{flag, fmt.Sprint(value), allowed}
}
