package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// mostDown is by how much the mean worth of a deployment's days with trouble may fall:
// less than that differs between two plays of the same code.
const mostDown = 0.03

// drawnPrefix begins the names of days that were drawn for one score alone.
const drawnPrefix = "fresh-"

// day is one played day of an entry.
type day struct {
	Name  string          `json:"name"`
	Slot  string          `json:"slot"`
	Worth float64         `json:"G"`
	Gate  bool            `json:"gate"`
	Fault any             `json:"fault"`
	Rules map[string]any  `json:"rules"`
	Short json.RawMessage `json:"short"`
}

// entry is one entry of the journal, as far as it is compared.
type entry struct {
	ID    string   `json:"id"`
	Verb  string   `json:"cmd"`
	Site  string   `json:"site"`
	Head  string   `json:"head"`
	Ended bool     `json:"ok"`
	At    []string `json:"at"`
	Days  []day    `json:"days"`
	// Arguments are those of the play.
	Arguments []string `json:"argv"`
}

// partial are the arguments of scores that don't compare with whole ones.
var partial = []string{"--small", "--quick", "--no-cpu"}

// isWhole reports whether an entry is a score that was played to its end on all
// standard days as they are.
func (e entry) isWhole() bool {
	part := slices.ContainsFunc(e.Arguments, func(a string) bool { return slices.Contains(partial, a) })
	return e.Verb == "score" && e.Ended && e.Site != "" && len(e.At) > 0 && !part
}

// readEntries reads the whole scores of a journal, the oldest first.
func readEntries(folder string) ([]entry, error) {
	paths, err := filepath.Glob(filepath.Join(folder, "*.json"))
	if err != nil {
		return nil, fmt.Errorf("looking for entries: %w", err)
	}
	var out []entry
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, fmt.Errorf("reading an entry: %w", err)
		}
		var e entry
		if err := json.Unmarshal(text, &e); err != nil {
			return nil, fmt.Errorf("entry %s: %w", filepath.Base(path), err)
		}
		if e.isWhole() {
			out = append(out, e)
		}
	}
	slices.SortStableFunc(out, func(a, b entry) int { return cmp.Compare(a.At[0], b.At[0]) })
	return out, nil
}

// comparison is the latest score of a deployment beside an earlier one.
type comparison struct {
	Site         string
	Now, Before  entry
	Worth, Was   float64
	HasBefore    bool
	Faults       []string
	DaysCompared int
}

// String returns a line for people.
func (c comparison) String() string {
	out := fmt.Sprintf("%s: %s worth %.3f", c.Site, c.Now.ID, c.Worth)
	if c.HasBefore {
		out += fmt.Sprintf(", %s %.3f (%d days)", c.Before.ID, c.Was, c.DaysCompared)
	} else {
		out += ", nothing to compare with"
	}
	if len(c.Faults) > 0 {
		out += ": " + strings.Join(c.Faults, "; ")
	}
	return out
}

// compare compares the latest score of each deployment with the latest one before it
// of another commit, or of the commit that earlier begins.
func compare(entries []entry, earlier string) []comparison {
	bySite := make(map[string][]entry)
	for _, e := range entries {
		bySite[e.Site] = append(bySite[e.Site], e)
	}
	var out []comparison
	for _, site := range slices.Sorted(maps.Keys(bySite)) {
		out = append(out, compareSite(site, bySite[site], earlier))
	}
	return out
}

func compareSite(site string, list []entry, earlier string) comparison {
	c := comparison{Site: site, Now: list[len(list)-1]}
	for _, e := range slices.Backward(list[:len(list)-1]) {
		if e.Head != c.Now.Head && strings.HasPrefix(e.Head, earlier) {
			c.Before, c.HasBefore = e, true
			break
		}
	}
	c.judgeDays()
	c.judgeWorth()
	return c
}

// judgeDays notes the days of the latest score that broke a rule or failed the gate.
func (c *comparison) judgeDays() {
	for _, d := range c.Now.Days {
		if len(d.Rules) > 0 {
			c.Faults = append(c.Faults, fmt.Sprintf("%s broke %s", d.Name, strings.Join(slices.Sorted(maps.Keys(d.Rules)), ", ")))
		}
		if d.Fault != nil {
			c.Faults = append(c.Faults, fmt.Sprintf("%s had a fault: %v", d.Name, d.Fault))
		}
		if !d.Gate {
			c.Faults = append(c.Faults, fmt.Sprintf("%s is short of the gate", d.Name))
		}
	}
}

// judgeWorth compares the means of the days with trouble that both scores have.
func (c *comparison) judgeWorth() {
	was := make(map[string]float64)
	for _, d := range c.Before.Days {
		was[d.Name] = d.Worth
	}
	var now, before, all float64
	days := 0
	for _, d := range c.Now.Days {
		if d.Slot == "quiet" || strings.HasPrefix(d.Name, drawnPrefix) {
			continue
		}
		days++
		all += d.Worth
		if w, ok := was[d.Name]; ok {
			c.DaysCompared++
			now += d.Worth
			before += w
		}
	}
	if days > 0 {
		c.Worth = all / float64(days)
	}
	if c.DaysCompared == 0 {
		return
	}
	n := float64(c.DaysCompared)
	c.Was = before / n
	if down := c.Was - now/n; down > mostDown {
		c.Faults = append(c.Faults, fmt.Sprintf("down by %.3f, at most %.2f is allowed", down, mostDown))
	}
}
