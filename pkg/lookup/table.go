package lookup

import (
	"ledgesill.dev/ledgesill/pkg/settings"
)

// Table answers lookups for one version of the settings and assignments. It is
// immutable, so that many requests can use it concurrently. Everything that does not
// depend on the caller is computed when it is built.
type Table struct {
	// zones holds the zones and their weights by service and region.
	zones map[string]map[string][]Weighted
	// candidates holds, by service and zone, the boxes in the order of the pool's lease
	// candidates, without those that are draining.
	candidates map[poolKey][]settings.Box
	services   map[poolKey]settings.Service
	assignment func(service, home string) Assignment
	regions    []Weighted
}

type poolKey struct{ service, zone string }

// Choice is a zone that a caller should use, with its boxes.
type Choice struct {
	Region string
	Zone   string
	Boxes  []settings.Box
	// Moved is true if the zone is outside the block's assigned region, which has too
	// few usable zones.
	Moved bool
}

// NewTable builds the table of a settings tree. The function assignment returns the
// assignment of a service and home region.
func NewTable(t settings.Tree, assignment func(service, home string) Assignment) *Table {
	b := &Table{
		zones:      make(map[string]map[string][]Weighted),
		candidates: make(map[poolKey][]settings.Box),
		services:   make(map[poolKey]settings.Service),
		assignment: assignment,
	}
	for _, r := range t.Regions() {
		b.regions = append(b.regions, Weighted{r, 1})
	}
	for _, z := range t.Zones() {
		for _, name := range z.Services {
			b.addService(t.Service(z.Region, z.Name, name), z)
		}
	}
	return b
}

func (b *Table) addService(s settings.Service, z settings.Zone) {
	if b.zones[s.Name] == nil {
		b.zones[s.Name] = make(map[string][]Weighted)
	}
	weight := float64(s.Capacity())
	if z.Draining || !hasActiveBox(z) {
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

func hasActiveBox(z settings.Zone) bool {
	for _, b := range z.Boxes {
		if !b.Draining {
			return true
		}
	}
	return false
}

// HasService reports whether any zone has the service.
func (b *Table) HasService(service string) bool { return b.zones[service] != nil }

// Service returns the effective settings of a service in a zone that has it.
func (b *Table) Service(service, zone string) (settings.Service, bool) {
	s, ok := b.services[poolKey{service, zone}]
	return s, ok
}

// AssignedRegion returns the region that a block is assigned to, even if that region
// can't serve it.
func (b *Table) AssignedRegion(service, home, block string) string {
	return b.assignment(service, home).Region(Point(service, block))
}

// maxBoxes limits the boxes of one zone in an answer.
const maxBoxes = 8

// Choose returns up to limit zones for a block of callers, best first: those of its
// assigned region, then those of the other regions, each with its boxes in the order of
// the pool's lease candidates. Boxes for which usable returns false are left out.
func (b *Table) Choose(service, home, block string, limit int, usable func(settings.Box) bool) []Choice {
	assigned := b.AssignedRegion(service, home, block)
	out := b.appendRegion(nil, service, assigned, assigned, block, limit, usable)
	if len(out) >= limit {
		return out
	}
	for _, region := range Rank(block, b.regions) {
		if region != assigned {
			out = b.appendRegion(out, service, region, assigned, block, limit, usable)
		}
		if len(out) >= limit {
			break
		}
	}
	return out
}

// appendRegion appends the choices in one region.
func (b *Table) appendRegion(out []Choice, service, region, assigned, block string, limit int, usable func(settings.Box) bool) []Choice {
	for _, zone := range Rank(block, b.zones[service][region]) {
		if len(out) >= limit {
			break
		}
		if boxes := b.usableBoxes(service, zone, usable); len(boxes) > 0 {
			out = append(out, Choice{Region: region, Zone: zone, Boxes: boxes, Moved: region != assigned})
		}
	}
	return out
}

func (b *Table) usableBoxes(service, zone string, usable func(settings.Box) bool) []settings.Box {
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

// Candidates returns the boxes of a zone in their order as candidates for the lease on
// a service's pool.
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
