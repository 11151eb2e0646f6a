package lookup

import (
	"ledgesill.dev/ledgesill/pkg/settings"
)

// Table answers look-ups from one version of the settings and assignments. It
// is immutable, so that many requests can read it at once.
type Table struct {
	zonesOf map[string][]settings.Zone
	weights map[string]map[string][]Weighted
	assign  func(service, home string) Assignment
	regions []string
}

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
		zonesOf: make(map[string][]settings.Zone),
		weights: make(map[string]map[string][]Weighted),
		assign:  assign,
		regions: t.Regions(),
	}
	for _, z := range t.Zones() {
		b.zonesOf[z.Region] = append(b.zonesOf[z.Region], z)
		for _, name := range z.Services {
			b.addWeight(t.Service(z.Region, z.Name, name), z)
		}
	}
	return b
}

func (b *Table) addWeight(s settings.Service, z settings.Zone) {
	if b.weights[s.Name] == nil {
		b.weights[s.Name] = make(map[string][]Weighted)
	}
	weight := float64(s.Capacity())
	if z.Draining || !hasBox(z) {
		weight = 0
	}
	b.weights[s.Name][z.Region] = append(b.weights[s.Name][z.Region], Weighted{z.Name, weight})
}

func hasBox(z settings.Zone) bool {
	for _, b := range z.Boxes {
		if !b.Draining {
			return true
		}
	}
	return false
}

// Knows reports whether any zone has the service.
func (b *Table) Knows(service string) bool { return b.weights[service] != nil }

// Assigned returns the region that a block is assigned to, whether or not the
// region can serve it.
func (b *Table) Assigned(service, home, block string) string {
	return b.assign(service, home).Region(Point(service, block))
}

// Choose returns the places for a block of callers, best first: the zones of
// its assigned region and then those of the other regions, each with its boxes
// in the order of the pool's lease candidates. A box that the function usable
// refuses is left out.
func (b *Table) Choose(service, home, block string, usable func(settings.Box) bool) []Choice {
	assigned := b.Assigned(service, home, block)
	order := []string{assigned}
	rest := make([]Weighted, 0, len(b.regions))
	for _, r := range b.regions {
		if r != assigned {
			rest = append(rest, Weighted{r, 1})
		}
	}
	order = append(order, Rank(block, rest)...)
	var out []Choice
	for _, region := range order {
		for _, zone := range Rank(block, b.weights[service][region]) {
			boxes := b.boxes(service, region, zone, usable)
			if len(boxes) == 0 {
				continue
			}
			out = append(out, Choice{Region: region, Zone: zone, Boxes: boxes, Moved: region != assigned})
		}
	}
	return out
}

func (b *Table) boxes(service, region, zone string, usable func(settings.Box) bool) []settings.Box {
	for _, z := range b.zonesOf[region] {
		if z.Name != zone {
			continue
		}
		var out []settings.Box
		for _, box := range Candidates(service, z) {
			if !box.Draining && usable(box) {
				out = append(out, box)
			}
		}
		return out
	}
	return nil
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
