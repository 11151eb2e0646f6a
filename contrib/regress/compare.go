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

// maxDrop is how much the mean worth of a deployment's days with trouble may drop. Runs of the
// same code differ by up to that.
const maxDrop = 0.03

// extraDayPrefix is the name prefix of days that were drawn for a single score.
const extraDayPrefix = "fresh-"

// day is the result of one simulated day.
type day struct {
	Name  string          `json:"name"`
	Slot  string          `json:"slot"`
	Worth float64         `json:"G"`
	Gate  bool            `json:"gate"`
	Fault any             `json:"fault"`
	Rules map[string]any  `json:"rules"`
	Short json.RawMessage `json:"short"`
}

// entry holds the compared fields of a journal entry.
type entry struct {
	ID      string   `json:"id"`
	Command string   `json:"cmd"`
	Site    string   `json:"site"`
	Commit  string   `json:"head"`
	OK      bool     `json:"ok"`
	Times   []string `json:"at"`
	Days    []day    `json:"days"`
	// Arguments are the command-line arguments of the run.
	Arguments []string `json:"argv"`
}

// partialArguments are the arguments of scores that can't be compared with complete ones.
var partialArguments = []string{"--small", "--quick", "--no-cpu"}

// isWhole reports whether an entry is the score of a run that finished and covered all standard
// days in full.
func (e entry) isWhole() bool {
	partial := slices.ContainsFunc(e.Arguments, func(a string) bool { return slices.Contains(partialArguments, a) })
	return e.Command == "score" && e.OK && e.Site != "" && len(e.Times) > 0 && !partial
}

// readEntries reads the complete scores of a journal, the oldest first.
func readEntries(dir string) ([]entry, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, fmt.Errorf("searching journal %s: %w", dir, err)
	}
	var out []entry
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, fmt.Errorf("reading a journal entry: %w", err)
		}
		var e entry
		if err := json.Unmarshal(text, &e); err != nil {
			return nil, fmt.Errorf("entry %s: %w", filepath.Base(path), err)
		}
		if e.isWhole() {
			out = append(out, e)
		}
	}
	slices.SortStableFunc(out, func(a, b entry) int { return cmp.Compare(a.Times[0], b.Times[0]) })
	return out, nil
}

// comparison compares the latest score of a deployment with an earlier one.
type comparison struct {
	Site               string
	Now, Before        entry
	Worth, WorthBefore float64
	HasBefore          bool
	Faults             []string
	DaysCompared       int
}

// String returns a printable line.
func (c comparison) String() string {
	out := fmt.Sprintf("%s: %s worth %.3f", c.Site, c.Now.ID, c.Worth)
	if c.HasBefore {
		out += fmt.Sprintf(", %s %.3f (%d days)", c.Before.ID, c.WorthBefore, c.DaysCompared)
	} else {
		out += ", nothing to compare with"
	}
	if len(c.Faults) > 0 {
		out += ": " + strings.Join(c.Faults, "; ")
	}
	return out
}

// compare compares the latest score of each deployment with the latest one before it of another
// commit whose hash starts with earlier.
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
		if e.Commit != c.Now.Commit && strings.HasPrefix(e.Commit, earlier) {
			c.Before, c.HasBefore = e, true
			break
		}
	}
	c.checkDays()
	c.checkWorth()
	return c
}

// checkDays adds the days of the latest score that broke a rule, had a fault or failed the gate.
func (c *comparison) checkDays() {
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

// checkWorth compares the mean worth of the days with trouble that both scores have.
func (c *comparison) checkWorth() {
	worthBefore := make(map[string]float64)
	for _, d := range c.Before.Days {
		worthBefore[d.Name] = d.Worth
	}
	var now, before, sum float64
	days := 0
	for _, d := range c.Now.Days {
		if d.Slot == "quiet" || strings.HasPrefix(d.Name, extraDayPrefix) {
			continue
		}
		days++
		sum += d.Worth
		if w, ok := worthBefore[d.Name]; ok {
			c.DaysCompared++
			now += d.Worth
			before += w
		}
	}
	if days > 0 {
		c.Worth = sum / float64(days)
	}
	if c.DaysCompared == 0 {
		return
	}
	n := float64(c.DaysCompared)
	c.WorthBefore = before / n
	if drop := c.WorthBefore - now/n; drop > maxDrop {
		c.Faults = append(c.Faults, fmt.Sprintf("down by %.3f, at most %.2f is allowed", drop, maxDrop))
	}
}
