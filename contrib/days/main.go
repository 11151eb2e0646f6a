// Command days generates random days for the users' test bench from all kinds of events,
// including kinds that a deployment's own list lacks. The same seed gives the same day.
package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
)

const (
	// earliestSeconds and latestSeconds bound when an event starts.
	earliestSeconds = 0.5
	latestSeconds   = 26
	// minEvents and maxEvents bound how many planned events and how many faults a day has.
	minEvents = 5
	maxEvents = 11
)

// event is a kind of event with the variants (how) and the parameters that the bench accepts.
type event struct {
	kind       string
	variants   []string
	parameters string
}

var plannedEvents = []event{
	{kind: "config_change", variants: []string{"route", "weights", "timeout", "idle", "skew"}},
	{kind: "config_storm", parameters: "gap_s = 0.5, for_s = 5.0"},
	{kind: "config_race", parameters: "count = 3, gap_s = 1.0"},
	{kind: "bad_config", parameters: "count = 5, gap_s = 0.5"},
	{kind: "big_config", parameters: "count = 350"},
	{kind: "evacuate", variants: []string{"", "warm"}, parameters: "for_s = 8.0"},
	{kind: "release", parameters: "share = 0.4, x = 1.0, gap_s = 1.0"},
	{kind: "scale_in", variants: []string{"", "spot"}, parameters: "share = 0.15"},
	{kind: "scale_out", parameters: "share = 0.3, gap_s = 2.0"},
	{kind: "roll_term", variants: []string{"", "busy"}, parameters: "share = 0.5, x = 1.0, gap_s = 1.2"},
	{kind: "seed_turnover"},
	{kind: "hup", parameters: "share = 0.6, gap_s = 2.0"},
}

var faultEvents = []event{
	{kind: "ack_lost", parameters: "x = 0.6, for_s = 6.0"},
	{kind: "after_ack_kill", variants: []string{"", "kill", "timed"}, parameters: "for_s = 3.0"},
	{kind: "after_ack_wipe", parameters: "for_s = 3.0"},
	{kind: "answer_lost", variants: []string{"", "reset"}, parameters: "share = 0.5, x = 0.1, for_s = 5.0"},
	{kind: "burst", parameters: "x = 1.7, for_s = 4.0"},
	{kind: "clock_step", variants: []string{"", "back", "ahead"}, parameters: "x = 4000.0, share = 0.4, for_s = 5.0"},
	{kind: "cold_return", variants: []string{"", "dark"}, parameters: "for_s = 4.0"},
	{kind: "core_cut", variants: []string{"", "leader", "split", "all", "near", "one_way", "both", "lure", "relieve", "leader race"}, parameters: "count = 1, for_s = 5.0"},
	{kind: "disk_full", parameters: "count = 1, for_s = 5.0"},
	{kind: "disk_slow", variants: []string{"", "leader"}, parameters: "count = 1, x = 30.0, for_s = 6.0"},
	{kind: "disk_stall", variants: []string{"", "leader"}, parameters: "count = 1, for_s = 4.0"},
	{kind: "garble", variants: []string{"", "extra", "unframed", "early", "extra late"}, parameters: "share = 0.5, x = 0.04, for_s = 5.0"},
	{kind: "give_up", parameters: "share = 0.3, for_s = 5.0"},
	{kind: "herd_kill", variants: []string{"", "power"}, parameters: "share = 0.5, for_s = 2.0"},
	{kind: "idle_race", parameters: "share = 0.5, x = 320.0, for_s = 6.0"},
	{kind: "lossy", parameters: "x = 0.04, for_s = 5.0"},
	{kind: "node_cut", variants: []string{"", "all", "servers", "reset"}, parameters: "share = 0.3, for_s = 5.0"},
	{kind: "node_freeze", parameters: "share = 0.2, for_s = 4.0"},
	{kind: "node_kill", variants: []string{"", "power"}, parameters: "share = 0.3, for_s = 3.0"},
	{kind: "node_slow", parameters: "share = 0.3, x = 6.0, for_s = 5.0"},
	{kind: "one_way", parameters: "for_s = 5.0"},
	{kind: "replace_core", variants: []string{"", "planned", "seed"}, parameters: "x = 2.0"},
	{kind: "replace_with_reuse", variants: []string{"", "drain", "dark"}, parameters: "share = 0.2"},
	{kind: "reset_conns", parameters: "share = 0.4, x = 0.5"},
	{kind: "retry_abuse", parameters: "share = 0.3, x = 3.0, for_s = 5.0"},
	{kind: "shift", parameters: "share = 0.6, for_s = 6.0"},
	{kind: "srv_crash", variants: []string{"", "dark", "gone"}, parameters: "share = 0.2, for_s = 4.0"},
	{kind: "srv_flap", parameters: "share = 0.2, gap_s = 1.4, for_s = 6.0"},
	{kind: "srv_grey", variants: []string{"", "shed"}, parameters: "share = 0.15, x = 0.45, for_s = 6.0"},
	{kind: "srv_lying_health", variants: []string{"", "bad"}, parameters: "share = 0.2, for_s = 6.0"},
	{kind: "srv_slow", parameters: "share = 0.2, x = 6.0, for_s = 6.0"},
	{kind: "zone_cut", variants: []string{"", "reset"}, parameters: "for_s = 5.0"},
	{kind: "zone_loss", parameters: "for_s = 5.0"},
}

var closings = []string{"power_off_all", "wipe_after_ack", "kill_all"}

func main() {
	seed := flag.Uint64("seed", 1, "seed of the day")
	without := flag.String("without", "", "kinds to leave out, separated by commas")
	flag.Parse()
	fmt.Fprint(os.Stdout, drawDay(*seed, strings.Split(*without, ",")))
}

// drawDay returns the day of a seed in the format of the bench. Left-out kinds are drawn too, so
// that the other events of the seed stay the same.
func drawDay(seed uint64, without []string) string {
	random := rand.New(rand.NewPCG(seed, seed))
	var b strings.Builder
	fmt.Fprintf(&b, "[[day]]\nname = \"drawn-%d\"\nslot = \"trouble\"\nseed = %d\n", seed, 1000+seed)
	fmt.Fprintf(&b, "closing = { kind = %q, down_s = 1.2 }\n", closings[random.IntN(len(closings))])
	writeEvents(&b, "plan", random, plannedEvents, without)
	writeEvents(&b, "faults", random, faultEvents, without)
	return b.String()
}

func writeEvents(b *strings.Builder, name string, random *rand.Rand, kinds []event, without []string) {
	fmt.Fprintf(b, "%s = [\n", name)
	for range minEvents + random.IntN(maxEvents-minEvents+1) {
		t := kinds[random.IntN(len(kinds))]
		at := earliestSeconds + random.Float64()*(latestSeconds-earliestSeconds)
		how := ""
		if len(t.variants) > 0 {
			how = t.variants[random.IntN(len(t.variants))]
		}
		if slices.Contains(without, t.kind) {
			continue
		}
		fmt.Fprintf(b, "  { at = %.2f, kind = %q", at, t.kind)
		if t.parameters != "" {
			fmt.Fprintf(b, ", %s", t.parameters)
		}
		if how != "" {
			fmt.Fprintf(b, ", how = %q", how)
		}
		b.WriteString(" },\n")
	}
	b.WriteString("]\n")
}
