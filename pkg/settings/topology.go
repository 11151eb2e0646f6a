package settings

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
)

// Box is an entry box.
type Box struct {
	Name   string
	Region string
	Zone   string
	// CallerAddress accepts requests of callers, PeerAddress connections of other
	// processes of the system.
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

// Zone is an availability zone with its entry boxes and the names of its services.
type Zone struct {
	Region  string
	Name    string
	Boxes   []Box
	Witness string
	// voters are the boxes listed in leaseVoters; empty means all.
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

// Regions returns the sorted names of the regions that have an availability zone.
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

// Zones returns the availability zones, sorted by region and name.
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
			continue // can't happen: a tree holds only validated values
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

// Zone returns the availability zone with the given name.
func (t Tree) Zone(name string) (Zone, bool) {
	for p := range t.nodes {
		if p.Zone == name {
			return t.zone(Path{Region: p.Region, Zone: name}), true
		}
	}
	return Zone{}, false
}

// Voters returns the names of the boxes that vote on the zone's leases, the witness
// included.
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

// Service holds the effective settings of one service in one availability zone.
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

// Service returns the effective settings of a service in a zone.
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
		target, err := parseTarget(item)
		if err != nil {
			continue // can't happen: a tree holds only validated values
		}
		target.Draining = s.Draining || slices.Contains(draining, target.Name)
		s.Targets = append(s.Targets, target)
	}
	return s
}

// Capacity returns the total slots of the targets that are not draining.
func (s Service) Capacity() int {
	n := 0
	for _, target := range s.Targets {
		if !target.Draining {
			n += s.Slots
		}
	}
	return n
}

// Services returns the sorted names of all services configured in a zone.
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
