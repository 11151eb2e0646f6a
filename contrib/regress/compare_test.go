package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// write writes a journal of one deployment's scores, the oldest first, each with the
// worth of its days and what else is to stand in its second day.
func write(t *testing.T, scores ...string) string {
	t.Helper()
	folder := t.TempDir()
	for i, second := range scores {
		text := fmt.Sprintf(`{"id":"e%d","cmd":"score","site":"shop","ok":true,"head":"commit%d","at":["2026-01-0%d"],"days":[
			{"name":"quiet-1","slot":"quiet","G":0.1,"gate":true,"rules":{},"fault":null},
			%s,
			{"name":"fresh-1","slot":"trouble","G":0.0,"gate":true,"rules":{},"fault":null}]}`, i, i, i+1, second)
		if err := os.WriteFile(filepath.Join(folder, fmt.Sprintf("e%d.json", i)), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return folder
}

func dayOf(worth float64, gate bool, rules string) string {
	return fmt.Sprintf(`{"name":"trouble-1","slot":"trouble","G":%g,"gate":%t,"rules":%s,"fault":null}`, worth, gate, rules)
}

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
				t.Fatalf("%d comparisons", len(got))
			}
			faults := strings.Join(got[0].Faults, "; ")
			if (faults == "") != (test.want == "") || !strings.Contains(faults, test.want) {
				t.Errorf("got %q, want %q", faults, test.want)
			}
		})
	}
}

func TestScoreIsComparedWithTheNamedCommit(t *testing.T) {
	entries, err := readEntries(write(t, dayOf(0.7, true, "{}"), dayOf(0.6, true, "{}"), dayOf(0.6, true, "{}")))
	if err != nil {
		t.Fatal(err)
	}
	if c := compare(entries, "commit0")[0]; c.Before.ID != "e0" || len(c.Faults) != 1 {
		t.Errorf("%v", c)
	}
}

func TestPartialScoresAreLeftOut(t *testing.T) {
	folder := write(t, dayOf(0.6, true, "{}"))
	small := `{"id":"s","cmd":"score","site":"shop","ok":true,"head":"h","at":["2026-02-01"],"argv":["shop.toml","--small"],"days":[]}`
	unfinished := `{"id":"u","cmd":"score","site":"shop","ok":false,"head":"h","at":["2026-02-02"],"days":[]}`
	for i, text := range []string{small, unfinished} {
		if err := os.WriteFile(filepath.Join(folder, fmt.Sprintf("p%d.json", i)), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	entries, err := readEntries(folder)
	if err != nil || len(entries) != 1 || entries[0].ID != "e0" {
		t.Errorf("%d entries: %v", len(entries), err)
	}
}

func TestBrokenEntryIsNamed(t *testing.T) {
	folder := write(t, dayOf(0.6, true, "{}"))
	if err := os.WriteFile(filepath.Join(folder, "broken.json"), []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := readEntries(folder); err == nil || !strings.Contains(err.Error(), "broken.json") {
		t.Errorf("got %v", err)
	}
}
