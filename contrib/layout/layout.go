// Package layout describes the regions, availability zones and processes of the two users, in
// the sizes that the users specified, for the demo and the measurements.
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

// Target is a back end of a service.
type Target struct {
	Name, Service, Region, Zone, Address string
	Slots                                int
	ServiceTime                          time.Duration
}

// Service is a service with its number of targets over all regions and their slots.
type Service struct {
	Name        string
	Servers     int
	Slots       int
	ServiceTime time.Duration
}

// Layout describes one user's system.
type Layout struct {
	Name     string
	Regions  []string
	Services []Service
	Boxes    []Box
	Controls []Control
	Targets  []Target
	// ZoneDelay and RegionDelay are the one-way delays between availability zones and between
	// regions, CallerDelay is the one-way delay between a caller and a box.
	ZoneDelay, RegionDelay, CallerDelay time.Duration
	ProbeTime                           time.Duration
	// Defaults are the settings that the user changed at the root of the settings tree.
	Defaults map[string]string
}

const (
	controlCount     = 3
	zoneNames        = "ab"
	controlPort      = 7100
	entryPort        = 8100
	portsPerUse      = 100
	targetPort       = 9000
	scalePort        = 10_000
	scalePortsPerUse = 2_000
	maxVoters        = 5
)

// Flagpost is a user that runs feature flags and needs low latency first.
func Flagpost() Layout {
	return buildLayout(Layout{
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

// Portal is a user that books installation appointments and needs spare capacity first.
func Portal() Layout {
	return buildLayout(Layout{
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

// Scale returns a layout of one region with many availability zones and entry boxes, to measure
// how the cost of control grows. Its targets are not served.
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
				Caller: loopbackAddress(scalePort + i), Peer: loopbackAddress(scalePort + scalePortsPerUse + i), Operator: loopbackAddress(scalePort + 2*scalePortsPerUse + i),
			})
		}
		l.Targets = append(l.Targets, Target{Name: "work-" + zone, Service: "work", Region: "scale", Zone: zone, Address: loopbackAddress(targetPort + z), Slots: 1})
	}
	return addControls(l)
}

// ByName returns the layout with a name: flagpost, portal or scale-ZONESxBOXES.
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
	return Layout{}, fmt.Errorf("unknown layout %q, want flagpost, portal or scale-ZONESxBOXES", name)
}

// addControls adds the control replicas.
func addControls(l Layout) Layout {
	for i := range controlCount {
		l.Controls = append(l.Controls, Control{
			Name:     fmt.Sprintf("control-%d", i+1),
			Peer:     loopbackAddress(controlPort + i),
			Operator: loopbackAddress(controlPort + portsPerUse + i),
		})
	}
	return l
}

// buildLayout adds the control replicas, three entry boxes in each region and the targets.
func buildLayout(l Layout) Layout {
	l = addControls(l)
	for _, region := range l.Regions {
		for zone, boxes := range []int{2, 1} {
			for range boxes {
				l.Boxes = append(l.Boxes, l.newBox(region, zoneName(region, zone)))
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
				Address:     loopbackAddress(targetPort + len(l.Targets)),
				Slots:       s.Slots,
				ServiceTime: s.ServiceTime,
			})
		}
	}
	return l
}

func (l Layout) newBox(region, zone string) Box {
	i := len(l.Boxes)
	return Box{
		Name:     fmt.Sprintf("entry-%d", i+1),
		Region:   region,
		Zone:     zone,
		Caller:   loopbackAddress(entryPort + i),
		Peer:     loopbackAddress(entryPort + portsPerUse + i),
		Operator: loopbackAddress(entryPort + 2*portsPerUse + i),
	}
}

func zoneName(region string, i int) string { return region + "-" + zoneNames[i:i+1] }

func loopbackAddress(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// Edits returns the edits that create the user's settings tree.
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
		l.addZoneEdits(zone[0], zone[1], add)
	}
	return out
}

// zones returns the region and the name of each availability zone.
func (l Layout) zones() [][2]string {
	var out [][2]string
	for _, b := range l.Boxes {
		if zone := [2]string{b.Region, b.Zone}; !slices.Contains(out, zone) {
			out = append(out, zone)
		}
	}
	return out
}

// addZoneEdits adds the edits of one availability zone.
func (l Layout) addZoneEdits(region, zone string, add func(path, key, value string)) {
	path := "/" + region + "/" + zone
	var boxes, names []string
	witnessBox := ""
	for _, b := range l.Boxes {
		if b.Zone == zone {
			names = append(names, b.Name)
			boxes = append(boxes, fmt.Sprintf("%s=%s+%s", b.Name, b.Caller, b.Peer))
		} else if b.Region == region {
			witnessBox = b.Name
		}
	}
	add(path, "entryBoxes", strings.Join(boxes, ","))
	switch {
	case len(boxes) > maxVoters:
		add(path, "leaseVoters", strings.Join(names[:maxVoters], ","))
	case len(boxes)%2 == 0 && witnessBox != "":
		add(path, "leaseWitness", witnessBox)
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
func (l Layout) ControlArguments(c Control, dir string) []string {
	var peers []string
	for _, other := range l.Controls {
		peers = append(peers, other.Peer)
	}
	return []string{
		"control", "-name", c.Name, "-folder", dir + "/" + c.Name,
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
