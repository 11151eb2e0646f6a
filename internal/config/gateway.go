package config

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"time"
)

// Gateway are the settings of an entry box that serves by the document of
// routes.
type Gateway struct {
	Common
	CallerAddress string
	ReadyAddress  string
	Region        string
	Zone          string
	// RegionOf gives the region of every availability zone.
	RegionOf map[string]string
	Controls []string
	// RetryShare, in percent of the requests for a service, and RetryExtra,
	// requests more, bound the retries of all boxes in each RetryWindow.
	RetryShare  float64
	RetryExtra  float64
	RetryWindow time.Duration
	// LinkBytes is how many bytes a second the box's link carries; 0 for no bound.
	LinkBytes float64
	// StopTime is how long a planned stop may take.
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

// ReadGateway reads and checks the settings of an entry box that serves by the
// document of routes.
func ReadGateway(args []string, out io.Writer) (Gateway, ParseResult, error) {
	var c Gateway
	fs := newFlagSet("ledgesill gateway", out)
	c.register(fs)
	fs.StringVar(&c.CallerAddress, "caller-address", "", "IP number and port for callers")
	fs.StringVar(&c.ReadyAddress, "ready-address", "", "IP number and port where a check is told whether the box serves")
	fs.StringVar(&c.Region, "region", "", "region of this entry box")
	fs.StringVar(&c.Zone, "zone", "", "availability zone of this entry box")
	zones := fs.String("zones", "", "all availability zones as zone=region, separated by commas")
	controls := fs.String("controls", "", "peer addresses of some control replicas, separated by commas")
	fs.Float64Var(&c.RetryShare, "retry-share", defaultRetryPercent, "retries of all boxes in percent of a service's requests, 0 to 100")
	fs.Float64Var(&c.RetryExtra, "retry-extra", defaultRetryExtra, "retries of all boxes beyond that share, in each window")
	fs.DurationVar(&c.RetryWindow, "retry-window", defaultRetryWindow, "time over which retries are counted, above 0")
	fs.Float64Var(&c.LinkBytes, "link-bytes", 0, "bytes a second that the box's link carries; 0 for no bound")
	fs.DurationVar(&c.StopTime, "stop-time", defaultStopTime, "how long a planned stop may take, 1s or more")
	help, err := parse(fs, args)
	if help || err != nil {
		return c, ParseResult{help}, err
	}
	c.Controls = SplitList(*controls)
	regions, err := parseZones(*zones)
	c.RegionOf = regions
	return c, ParseResult{}, errors.Join(err, c.check())
}

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
		err = errors.Join(err, &ValueError{"zones", c.RegionOf[c.Zone], "a list that has this box's zone with its region " + c.Region})
	}
	if c.RetryWindow <= 0 {
		err = errors.Join(err, &ValueError{"retry-window", c.RetryWindow.String(), "a time above 0"})
	}
	if c.StopTime < minStopTime {
		err = errors.Join(err, &ValueError{"stop-time", c.StopTime.String(), "1s or more"})
	}
	return err
}

// checkRange checks a number that is not below 0, nor above most unless that is 0.
func checkRange(flag string, value, most float64) error {
	if value >= 0 && (most == 0 || value <= most) {
		return nil
	}
	allowed := "a number that is not below 0"
	if most > 0 {
		allowed = fmt.Sprintf("0 to %g", most)
	}
	return &ValueError{flag, fmt.Sprint(value), allowed}
}
