// Package layout describes the places and processes of the two users, sized as
// their brief says, for the demo and the measurements.
package layout

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"ledgesill.dev/ledgesill/internal/operator"
)

// Box is an entry box.
type Box struct {
	Name, Region, Zone     string
	Caller, Peer, Operator string
}

// Control is a control replica.
type Control struct{ Name, Peer, Operator string }

// Target is a back end.
type Target struct {
	Name, Service, Region, Zone, Address string
	Slots                                int
	ServiceTime                          time.Duration
}

// Service is a service with the size of its pools.
type Service struct {
	Name        string
	Servers     int
	Slots       int
	ServiceTime time.Duration
}

// Layout is one user's system.
type Layout struct {
	Name     string
	Regions  []string
	Services []Service
	Boxes    []Box
	Controls []Control
	Targets  []Target
	// ZoneDelay, RegionDelay and CallerDelay are one-way delays.
	ZoneDelay, RegionDelay, CallerDelay time.Duration
	ProbeTime                           time.Duration
	// Defaults are the settings that the user chose at the top of the tree.
	Defaults map[string]string
}

const (
	controls    = 3
	zoneNames   = "ab"
	controlPort = 7100
	entryPort   = 8100
	portBlock   = 100
	targetPort  = 9000
	scalePort   = 10_000
	scaleBlock  = 2_000
	maxVoters   = 5
)

// Flagpost runs feature flags: latency first.
func Flagpost() Layout {
	return build(Layout{
		Name:    "flagpost",
		Regions: []string{"us-east", "eu-west", "ap-south"},
		Services: []Service{
			{Name: "resolver", Servers: 24, Slots: 9, ServiceTime: 4 * time.Millisecond},
			{Name: "exporter", Servers: 12, Slots: 3, ServiceTime: 40 * time.Millisecond},
		},
		ZoneDelay:   time.Millisecond,
		RegionDelay: 35 * time.Millisecond,
		CallerDelay: 8 * time.Millisecond,
		ProbeTime:   time.Millisecond,
		Defaults:    map[string]string{"answerTtlMillis": "1000", "reserveShare": "10", "queueWaitMillis": "100"},
	})
}

// Portal books installation appointments: headroom first.
func Portal() Layout {
	return build(Layout{
		Name:    "portal",
		Regions: []string{"ost", "west", "sued"},
		Services: []Service{
			{Name: "booking", Servers: 24, Slots: 3, ServiceTime: 30 * time.Millisecond},
			{Name: "jobs", Servers: 12, Slots: 3, ServiceTime: 60 * time.Millisecond},
		},
		ZoneDelay:   1500 * time.Microsecond,
		RegionDelay: 12 * time.Millisecond,
		CallerDelay: time.Millisecond,
		ProbeTime:   6 * time.Millisecond,
		Defaults:    map[string]string{"answerTtlMillis": "2000", "reserveShare": "20", "queueWaitMillis": "300"},
	})
}

// Scale is one region with a number of zones of so many entry boxes each, to
// measure how the cost of control grows. Its targets are not served.
func Scale(zones, boxesPerZone int) Layout {
	l := Layout{
		Name:     fmt.Sprintf("scale-%dx%d", zones, boxesPerZone),
		Regions:  []string{"scale"},
		Services: []Service{{Name: "work", Slots: 1}},
		Defaults: map[string]string{"reportIntervalMillis": "60000"},
	}
	for z := range zones {
		zone := fmt.Sprintf("scale-%d", z)
		for range boxesPerZone {
			i := len(l.Boxes)
			l.Boxes = append(l.Boxes, Box{
				Name: fmt.Sprintf("entry-%d", i+1), Region: "scale", Zone: zone,
				Caller: address(scalePort + i), Peer: address(scalePort + scaleBlock + i), Operator: address(scalePort + 2*scaleBlock + i),
			})
		}
		l.Targets = append(l.Targets, Target{Name: "work-" + zone, Service: "work", Region: "scale", Zone: zone, Address: address(targetPort + z), Slots: 1})
	}
	return withControls(l)
}

// ByName returns a layout by its name: flagpost, portal or scale-ZONESxBOXES.
func ByName(name string) (Layout, error) {
	var zones, boxes int
	if n, err := fmt.Sscanf(name, "scale-%dx%d", &zones, &boxes); n == 2 && err == nil {
		return Scale(zones, boxes), nil
	}
	for _, l := range []Layout{Flagpost(), Portal()} {
		if l.Name == name {
			return l, nil
		}
	}
	return Layout{}, fmt.Errorf("layout %q: allowed is flagpost, portal or scale-ZONESxBOXES", name)
}

func withControls(l Layout) Layout {
	for i := range controls {
		l.Controls = append(l.Controls, Control{
			Name:     fmt.Sprintf("control-%d", i+1),
			Peer:     address(controlPort + i),
			Operator: address(controlPort + portBlock + i),
		})
	}
	return l
}

func build(l Layout) Layout {
	l = withControls(l)
	for _, region := range l.Regions {
		for zone, boxes := range []int{2, 1} {
			for range boxes {
				l.Boxes = append(l.Boxes, l.box(region, zoneName(region, zone)))
			}
		}
	}
	for _, s := range l.Services {
		for i := range s.Servers {
			region := l.Regions[i%len(l.Regions)]
			l.Targets = append(l.Targets, Target{
				Name:        fmt.Sprintf("%s-%d", s.Name, i+1),
				Service:     s.Name,
				Region:      region,
				Zone:        zoneName(region, i/len(l.Regions)%len(zoneNames)),
				Address:     address(targetPort + len(l.Targets)),
				Slots:       s.Slots,
				ServiceTime: s.ServiceTime,
			})
		}
	}
	return l
}

func (l Layout) box(region, zone string) Box {
	i := len(l.Boxes)
	return Box{
		Name:     fmt.Sprintf("entry-%d", i+1),
		Region:   region,
		Zone:     zone,
		Caller:   address(entryPort + i),
		Peer:     address(entryPort + portBlock + i),
		Operator: address(entryPort + 2*portBlock + i),
	}
}

func zoneName(region string, i int) string { return region + "-" + zoneNames[i:i+1] }

func address(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// Edits returns the user's whole tree of settings.
func (l Layout) Edits() []operator.Edit {
	var out []operator.Edit
	add := func(path, key, value string) {
		out = append(out, operator.Edit{Path: path, Key: key, Value: value})
	}
	for key, value := range l.Defaults {
		add("/", key, value)
	}
	for _, s := range l.Services {
		add("/:"+s.Name, "slots", fmt.Sprint(s.Slots))
	}
	for _, zone := range l.zones() {
		l.zoneEdits(zone[0], zone[1], add)
	}
	return out
}

// zones returns region and name of each availability zone.
func (l Layout) zones() [][2]string {
	var out [][2]string
	for _, b := range l.Boxes {
		if zone := [2]string{b.Region, b.Zone}; !slices.Contains(out, zone) {
			out = append(out, zone)
		}
	}
	return out
}

func (l Layout) zoneEdits(region, zone string, add func(path, key, value string)) {
	path := "/" + region + "/" + zone
	var boxes, names []string
	witness := ""
	for _, b := range l.Boxes {
		if b.Zone == zone {
			names = append(names, b.Name)
			boxes = append(boxes, fmt.Sprintf("%s=%s+%s", b.Name, b.Caller, b.Peer))
		} else if b.Region == region {
			witness = b.Name
		}
	}
	add(path, "entryBoxes", strings.Join(boxes, ","))
	switch {
	case len(boxes) > maxVoters:
		add(path, "leaseVoters", strings.Join(names[:maxVoters], ","))
	case len(boxes)%2 == 0 && witness != "":
		add(path, "leaseWitness", witness)
	}
	for _, s := range l.Services {
		var targets []string
		for _, t := range l.Targets {
			if t.Zone == zone && t.Service == s.Name {
				targets = append(targets, t.Name+"="+t.Address)
			}
		}
		add(path+":"+s.Name, "targets", strings.Join(targets, ","))
	}
}

// ControlArguments returns the command line of a control replica.
func (l Layout) ControlArguments(c Control, folder string) []string {
	var peers []string
	for _, other := range l.Controls {
		peers = append(peers, other.Peer)
	}
	return []string{
		"control", "-name", c.Name, "-folder", folder + "/" + c.Name,
		"-peer-address", c.Peer, "-operator-address", c.Operator, "-peers", strings.Join(peers, ","),
	}
}

// EntryArguments returns the command line of an entry box's daemon.
func (l Layout) EntryArguments(b Box) []string {
	var peers []string
	for _, c := range l.Controls {
		peers = append(peers, c.Peer)
	}
	return []string{
		"entry", "-name", b.Name, "-region", b.Region, "-zone", b.Zone,
		"-caller-address", b.Caller, "-peer-address", b.Peer, "-operator-address", b.Operator,
		"-controls", strings.Join(peers, ","),
	}
}
