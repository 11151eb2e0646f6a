package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// write writes a journal with scores of one deployment, the oldest first. Each argument is the
// JSON of the second day of a score.
func write(t *testing.T, scores ...string) string {
	t.Helper()
	dir := t.TempDir()
	for i, second := range scores {
		text := fmt.Sprintf(`{"id":"e%d","cmd":"score","site":"shop","ok":true,"head":"commit%d","at":["2026-01-0%d"],"days":[
			{"name":"quiet-1","slot":"quiet","G":0.1,"gate":true,"rules":{},"fault":null},
			%s,
			{"name":"fresh-1","slot":"trouble","G":0.0,"gate":true,"rules":{},"fault":null}]}`, i, i, i+1, second)
		if err := os.WriteFile(filepath.Join(dir, fmt.Sprintf("e%d.json", i)), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

// dayOf returns the JSON of a day with trouble.
func dayOf(worth float64, gate bool, rules string) string {
	return fmt.Sprintf(`{"name":"trouble-1","slot":"trouble","G":%g,"gate":%t,"rules":%s,"fault":null}`, worth, gate, rules)
}

// Guards against a worse score, a broken rule or a failed gate that is not reported, and against
// noise that is.
func TestWorseScoresAreNamed(t *testing.T) {
	good := dayOf(0.60, true, "{}")
	tests := []struct {
		name   string
		scores []string
		want   string // part of the one fault, or empty for none
	}{
		{"the same", []string{good, good}, ""},
		{"noise", []string{good, dayOf(0.58, true, "{}")}, ""},
		{"worse", []string{good, dayOf(0.56, true, "{}")}, "down by 0.040"},
		{"worse than the last, not the first", []string{dayOf(0.50, true, "{}"), good, dayOf(0.56, true, "{}")}, "down by 0.040"},
		{"a rule", []string{good, dayOf(0.60, true, `{"DRAIN":3}`)}, "broke DRAIN"},
		{"the gate", []string{good, dayOf(0.60, false, "{}")}, "short of the gate"},
		{"a first score", []string{good}, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			entries, err := readEntries(write(t, test.scores...))
			if err != nil {
				t.Fatal(err)
			}
			got := compare(entries, "")
			if len(got) != 1 {
				t.Fatalf("got %d comparisons, want 1", len(got))
			}
			faults := strings.Join(got[0].Faults, "; ")
			if (faults == "") != (test.want == "") || !strings.Contains(faults, test.want) {
				t.Errorf("got %q, want %q", faults, test.want)
			}
		})
	}
}

// Guards against a comparison with another commit than -earlier names.
func TestScoreIsComparedWithTheNamedCommit(t *testing.T) {
	entries, err := readEntries(write(t, dayOf(0.7, true, "{}"), dayOf(0.6, true, "{}"), dayOf(0.6, true, "{}")))
	if err != nil {
		t.Fatal(err)
	}
	if c := compare(entries, "commit0")[0]; c.Before.ID != "e0" || len(c.Faults) != 1 {
		t.Errorf("comparison with commit0: got %v", c)
	}
}

// Guards against a comparison with partial or unfinished scores.
func TestPartialScoresAreLeftOut(t *testing.T) {
	dir := write(t, dayOf(0.6, true, "{}"))
	small := `{"id":"s","cmd":"score","site":"shop","ok":true,"head":"h","at":["2026-02-01"],"argv":["shop.toml","--small"],"days":[]}`
	unfinished := `{"id":"u","cmd":"score","site":"shop","ok":false,"head":"h","at":["2026-02-02"],"days":[]}`
	for i, text := range []string{small, unfinished} {
		if err := os.WriteFile(filepath.Join(dir, fmt.Sprintf("p%d.json", i)), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	entries, err := readEntries(dir)
	if err != nil || len(entries) != 1 || entries[0].ID != "e0" {
		t.Errorf("got %d entries (error: %v), want only e0", len(entries), err)
	}
}

// Guards against an invalid journal entry that is ignored, or whose error doesn't name the file.
func TestBrokenEntryIsNamed(t *testing.T) {
	dir := write(t, dayOf(0.6, true, "{}"))
	if err := os.WriteFile(filepath.Join(dir, "broken.json"), []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := readEntries(dir); err == nil || !strings.Contains(err.Error(), "broken.json") {
		t.Errorf("got error %v, want one that names broken.json", err)
	}
}
