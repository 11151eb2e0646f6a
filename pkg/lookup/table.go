package lookup

import (
	"ledgesill.dev/ledgesill/pkg/settings"
)

// Table answers look-ups from one version of the settings and assignments. It
// is immutable, so that many requests can read it at once. All that does not
// depend on the caller is worked out when it is built.
type Table struct {
	// zones holds, by service and region, the zones with their weights.
	zones map[string]map[string][]Weighted
	// candidates holds the boxes of each service and zone in the order in
	// which they take the lease on the pool, less those that are draining.
	candidates map[poolKey][]settings.Box
	services   map[poolKey]settings.Service
	assign     func(service, home string) Assignment
	regions    []Weighted
}

type poolKey struct{ service, zone string }

// Choice is where a caller should go.
type Choice struct {
	Region string
	Zone   string
	Boxes  []settings.Box
	// Moved tells that the block's own region has no place to go and another
	// one was chosen.
	Moved bool
}

// NewTable builds the table of a tree. The function assign gives the
// assignment of a service and home region.
func NewTable(t settings.Tree, assign func(service, home string) Assignment) *Table {
	b := &Table{
		zones:      make(map[string]map[string][]Weighted),
		candidates: make(map[poolKey][]settings.Box),
		services:   make(map[poolKey]settings.Service),
		assign:     assign,
	}
	for _, r := range t.Regions() {
		b.regions = append(b.regions, Weighted{r, 1})
	}
	for _, z := range t.Zones() {
		for _, name := range z.Services {
			b.add(t.Service(z.Region, z.Name, name), z)
		}
	}
	return b
}

func (b *Table) add(s settings.Service, z settings.Zone) {
	if b.zones[s.Name] == nil {
		b.zones[s.Name] = make(map[string][]Weighted)
	}
	weight := float64(s.Capacity())
	if z.Draining || !hasBox(z) {
		weight = 0
	}
	b.zones[s.Name][z.Region] = append(b.zones[s.Name][z.Region], Weighted{z.Name, weight})
	k := poolKey{s.Name, z.Name}
	b.services[k] = s
	for _, box := range Candidates(s.Name, z) {
		if !box.Draining {
			b.candidates[k] = append(b.candidates[k], box)
		}
	}
}

func hasBox(z settings.Zone) bool {
	for _, b := range z.Boxes {
		if !b.Draining {
			return true
		}
	}
	return false
}

// HasService reports whether any zone has the service.
func (b *Table) HasService(service string) bool { return b.zones[service] != nil }

// Service returns what is in force for a service in a zone that has it.
func (b *Table) Service(service, zone string) (settings.Service, bool) {
	s, ok := b.services[poolKey{service, zone}]
	return s, ok
}

// AssignedRegion returns the region that a block is assigned to, whether or not the
// region can serve it.
func (b *Table) AssignedRegion(service, home, block string) string {
	return b.assign(service, home).Region(Point(service, block))
}

// maxBoxes bounds the boxes of one zone in an answer.
const maxBoxes = 8

// Choose returns up to limit places for a block of callers, best first: the
// zones of its assigned region and then those of the other regions, each with
// its boxes in the order of the pool's lease candidates. A box that the
// function usable refuses is left out.
func (b *Table) Choose(service, home, block string, limit int, usable func(settings.Box) bool) []Choice {
	assigned := b.AssignedRegion(service, home, block)
	out := b.inRegion(nil, service, assigned, assigned, block, limit, usable)
	if len(out) >= limit {
		return out
	}
	for _, region := range Rank(block, b.regions) {
		if region != assigned {
			out = b.inRegion(out, service, region, assigned, block, limit, usable)
		}
		if len(out) >= limit {
			break
		}
	}
	return out
}

// inRegion adds the places of one region.
func (b *Table) inRegion(out []Choice, service, region, assigned, block string, limit int, usable func(settings.Box) bool) []Choice {
	for _, zone := range Rank(block, b.zones[service][region]) {
		if len(out) >= limit {
			break
		}
		if boxes := b.boxes(service, zone, usable); len(boxes) > 0 {
			out = append(out, Choice{Region: region, Zone: zone, Boxes: boxes, Moved: region != assigned})
		}
	}
	return out
}

func (b *Table) boxes(service, zone string, usable func(settings.Box) bool) []settings.Box {
	var out []settings.Box
	for _, box := range b.candidates[poolKey{service, zone}] {
		if len(out) == maxBoxes {
			break
		}
		if usable(box) {
			out = append(out, box)
		}
	}
	return out
}

// Candidates returns the boxes of a zone in the order in which they take the
// lease on a service's pool.
func Candidates(service string, z settings.Zone) []settings.Box {
	names := make([]Weighted, 0, len(z.Boxes))
	byName := make(map[string]settings.Box, len(z.Boxes))
	for _, b := range z.Boxes {
		names = append(names, Weighted{b.Name, 1})
		byName[b.Name] = b
	}
	out := make([]settings.Box, 0, len(z.Boxes))
	for _, name := range Rank(service+"@"+z.Name, names) {
		out = append(out, byName[name])
	}
	return out
}
