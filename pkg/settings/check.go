package settings

import (
	"fmt"
	"slices"
)

// Check validates the tree as a whole: unique names and addresses, settings that depend
// on each other, and that no service has all of its targets draining.
func (t Tree) Check() error {
	zones := t.Zones()
	if err := checkZoneNames(zones); err != nil {
		return err
	}
	boxes, err := checkBoxes(zones)
	if err != nil {
		return err
	}
	if err := checkWitnesses(zones, boxes); err != nil {
		return err
	}
	if err := t.checkTargets(zones); err != nil {
		return err
	}
	if err := t.checkLimits(); err != nil {
		return err
	}
	return t.checkDrains(zones)
}

func checkZoneNames(zones []Zone) error {
	seen := make(map[string]string)
	for _, z := range zones {
		if other, ok := seen[z.Name]; ok {
			path := Path{Region: z.Region, Zone: z.Name}.String()
			return &InvalidError{Path: path, Reason: fmt.Sprintf("region %s has a zone of this name too", other)}
		}
		seen[z.Name] = z.Region
	}
	return nil
}

func checkBoxes(zones []Zone) (map[string]Zone, error) {
	byName := make(map[string]Zone)
	addresses := make(map[string]string)
	for _, z := range zones {
		path := Path{Region: z.Region, Zone: z.Name}.String()
		for _, b := range z.Boxes {
			if other, ok := byName[b.Name]; ok {
				return nil, &InvalidError{Path: path, Key: EntryBoxes, Value: b.Name, Reason: "zone " + other.Name + " has an entry box of this name too"}
			}
			byName[b.Name] = z
			for _, a := range []string{b.CallerAddress, b.PeerAddress} {
				if other, ok := addresses[a]; ok {
					return nil, &InvalidError{Path: path, Key: EntryBoxes, Value: a, Reason: "entry box " + other + " has this address too"}
				}
				addresses[a] = b.Name
			}
		}
	}
	return byName, nil
}

func checkWitnesses(zones []Zone, boxes map[string]Zone) error {
	for _, z := range zones {
		if err := checkLeaseVoters(z, boxes); err != nil {
			return err
		}
		if z.Witness == "" {
			continue
		}
		at, ok := boxes[z.Witness]
		if !ok || at.Name == z.Name {
			path := Path{Region: z.Region, Zone: z.Name}.String()
			return &InvalidError{Path: path, Key: LeaseWitness, Value: z.Witness, Reason: "it must be an entry box of another availability zone"}
		}
	}
	return nil
}

func checkLeaseVoters(z Zone, boxes map[string]Zone) error {
	for _, name := range z.voters {
		if boxes[name].Name != z.Name {
			path := Path{Region: z.Region, Zone: z.Name}.String()
			return &InvalidError{Path: path, Key: LeaseVoters, Value: name, Reason: "it must be an entry box of this availability zone"}
		}
	}
	return nil
}

func (t Tree) checkTargets(zones []Zone) error {
	addresses := make(map[string]string)
	for _, z := range zones {
		for _, name := range z.Services {
			path := Path{Region: z.Region, Zone: z.Name, Service: name}.String()
			for _, target := range t.Service(z.Region, z.Name, name).Targets {
				if other, ok := addresses[target.Address]; ok {
					return &InvalidError{Path: path, Key: Targets, Value: target.Address, Reason: "target " + other + " has this address too"}
				}
				addresses[target.Address] = target.Name
			}
		}
	}
	return nil
}

// checkLimits compares settings that bound each other. It visits the paths in order, so
// that every replica gives the same reason.
func (t Tree) checkLimits() error {
	for _, p := range t.paths() {
		v := t.Values(p)
		if v.ShiftStepShare > v.ShiftCapShare {
			reason := fmt.Sprintf("a step may not exceed the cap, which is %d", v.ShiftCapShare)
			return &InvalidError{Path: p.String(), Key: ShiftStepShare, Value: fmt.Sprint(v.ShiftStepShare), Reason: reason}
		}
		if v.QueueWait > v.RequestTimeout {
			reason := fmt.Sprintf("the wait may not exceed %s, which is %s", RequestTimeoutMillis, v.RequestTimeout)
			return &InvalidError{Path: p.String(), Key: QueueWaitMillis, Value: fmt.Sprint(v.QueueWait.Milliseconds()), Reason: reason}
		}
	}
	return nil
}

// checkDrains refuses a tree in which all targets of a service are draining.
func (t Tree) checkDrains(zones []Zone) error {
	capacity := make(map[string]int)
	targets := make(map[string]int)
	for _, z := range zones {
		for _, name := range z.Services {
			s := t.Service(z.Region, z.Name, name)
			capacity[name] += s.Capacity()
			targets[name] += len(s.Targets)
		}
	}
	for _, name := range t.Services() {
		if targets[name] > 0 && capacity[name] == 0 {
			return &InvalidError{Path: "/:" + name, Key: Drain, Value: "true", Reason: "every target of the service would be draining"}
		}
	}
	return nil
}

// CheckVoterChange refuses a change from t to next that adds or removes more than one
// voter of a zone's leases; replacing a voter is such a change. Majorities of two voter
// sets that differ by one voter always intersect; with a larger difference they may not.
// A zone without boxes may start with any set.
func (t Tree) CheckVoterChange(next Tree) error {
	for _, z := range next.Zones() {
		before, _ := t.Zone(z.Name)
		if len(before.Boxes) == 0 {
			continue
		}
		changed := countMissing(before.Voters(), z.Voters()) + countMissing(z.Voters(), before.Voters())
		if changed > 1 {
			path := Path{Region: z.Region, Zone: z.Name}.String()
			return &InvalidError{Path: path, Key: EntryBoxes, Reason: "one entry box or witness of a zone may be added or removed at a time"}
		}
	}
	return nil
}

// countMissing returns how many elements of a are not in b.
func countMissing(a, b []string) int {
	n := 0
	for _, v := range a {
		if !slices.Contains(b, v) {
			n++
		}
	}
	return n
}
