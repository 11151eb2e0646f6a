package settings

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
)

// Box is an entry box: a machine of the system.
type Box struct {
	Name   string
	Region string
	Zone   string
	// CallerAddress serves callers, PeerAddress other processes of the system.
	CallerAddress string
	PeerAddress   string
	Draining      bool
}

// Target is a back end.
type Target struct {
	Name     string
	Address  string
	Draining bool
}

// Zone is an availability zone with its entry boxes and services.
type Zone struct {
	Region  string
	Name    string
	Boxes   []Box
	Witness string
	// voters are the boxes named by leaseVoters.
	voters   []string
	Services []string
	Draining bool
}

func parseBox(item string) (Box, error) {
	name, addresses, ok := strings.Cut(item, "=")
	caller, peer, both := strings.Cut(addresses, "+")
	if !ok || !both {
		return Box{}, fmt.Errorf("%q must be name=callerAddress+peerAddress", item)
	}
	b := Box{Name: name, CallerAddress: caller, PeerAddress: peer}
	if err := checkName(name); err != nil {
		return b, err
	}
	if err := checkAddress(caller); err != nil {
		return b, err
	}
	return b, checkAddress(peer)
}

func parseTarget(item string) (Target, error) {
	name, address, ok := strings.Cut(item, "=")
	if !ok {
		return Target{}, fmt.Errorf("%q must be name=address", item)
	}
	if err := checkName(name); err != nil {
		return Target{}, err
	}
	return Target{Name: name, Address: address}, checkAddress(address)
}

func checkAddress(address string) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return fmt.Errorf("%q is not an IP number and port", address)
	}
	return nil
}

// Regions returns the names of the regions that have an availability zone.
func (t Tree) Regions() []string {
	var out []string
	for p := range t.nodes {
		if p.Zone != "" && !slices.Contains(out, p.Region) {
			out = append(out, p.Region)
		}
	}
	slices.Sort(out)
	return out
}

// Zones returns the availability zones, ordered by region and name.
func (t Tree) Zones() []Zone {
	found := make(map[Path]bool)
	for p := range t.nodes {
		if p.Zone != "" {
			found[Path{Region: p.Region, Zone: p.Zone}] = true
		}
	}
	out := make([]Zone, 0, len(found))
	for p := range found {
		out = append(out, t.zone(p))
	}
	slices.SortFunc(out, func(a, b Zone) int {
		if c := strings.Compare(a.Region, b.Region); c != 0 {
			return c
		}
		return strings.Compare(a.Name, b.Name)
	})
	return out
}

func (t Tree) zone(p Path) Zone {
	z := Zone{Region: p.Region, Name: p.Zone, Draining: t.boolean(p, Drain)}
	draining := splitList(t.Get(p, DrainBoxes))
	for _, item := range splitList(t.Get(p, EntryBoxes)) {
		b, err := parseBox(item)
		if err != nil {
			continue // no tree holds an unchecked value
		}
		b.Region = p.Region
		b.Zone = p.Zone
		b.Draining = z.Draining || slices.Contains(draining, b.Name)
		z.Boxes = append(z.Boxes, b)
	}
	if w := splitList(t.Get(p, LeaseWitness)); len(w) > 0 {
		z.Witness = w[0]
	}
	z.voters = splitList(t.Get(p, LeaseVoters))
	for q := range t.nodes {
		if q.Zone == p.Zone && q.Region == p.Region && q.Service != "" {
			z.Services = append(z.Services, q.Service)
		}
	}
	slices.Sort(z.Services)
	return z
}

// Zone returns one availability zone by its name.
func (t Tree) Zone(name string) (Zone, bool) {
	for p := range t.nodes {
		if p.Zone == name {
			return t.zone(Path{Region: p.Region, Zone: name}), true
		}
	}
	return Zone{}, false
}

// Voters returns the names of the boxes that vote on the zone's leases.
func (z Zone) Voters() []string {
	out := slices.Clone(z.voters)
	for _, b := range z.Boxes {
		if len(z.voters) == 0 {
			out = append(out, b.Name)
		}
	}
	if z.Witness != "" {
		out = append(out, z.Witness)
	}
	return out
}

// Service is what is in force for one service in one availability zone.
type Service struct {
	Name        string
	Region      string
	Zone        string
	Targets     []Target
	Draining    bool
	Slots       int
	Connections int
	Values      Values
}

// Service returns what is in force for a service in a zone of a region.
func (t Tree) Service(region, zone, name string) Service {
	p := Path{Region: region, Zone: zone, Service: name}
	s := Service{
		Name:        name,
		Region:      region,
		Zone:        zone,
		Draining:    t.boolean(p, Drain),
		Slots:       t.integer(p, Slots),
		Connections: t.integer(p, Connections),
		Values:      t.Values(p),
	}
	draining := splitList(t.Get(p, DrainTargets))
	for _, item := range splitList(t.Get(p, Targets)) {
		g, err := parseTarget(item)
		if err != nil {
			continue // no tree holds an unchecked value
		}
		g.Draining = s.Draining || slices.Contains(draining, g.Name)
		s.Targets = append(s.Targets, g)
	}
	return s
}

// Capacity returns the slots of the service's targets that are not draining.
func (s Service) Capacity() int {
	n := 0
	for _, g := range s.Targets {
		if !g.Draining {
			n += s.Slots
		}
	}
	return n
}

// Services returns the names of all services that have targets anywhere.
func (t Tree) Services() []string {
	var out []string
	for p := range t.nodes {
		if p.Service != "" && p.Zone != "" && !slices.Contains(out, p.Service) {
			out = append(out, p.Service)
		}
	}
	slices.Sort(out)
	return out
}
