// Command days draws days of trouble for the users' bench from all kinds that
// may come, also those that a deployment's own list lacks. The same seed gives
// the same day.
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
	// beginSeconds and endSeconds are when troubles may begin.
	beginSeconds = 0.5
	endSeconds   = 26
	// leastTroubles and mostTroubles bound how many a day has of each sort.
	leastTroubles = 5
	mostTroubles  = 11
)

// trouble is a kind with the words that it may be given.
type trouble struct {
	kind  string
	hows  []string
	words string
}

var planned = []trouble{
	{kind: "config_change", hows: []string{"route", "weights", "timeout", "idle", "skew"}},
	{kind: "config_storm", words: "gap_s = 0.5, for_s = 5.0"},
	{kind: "config_race", words: "count = 3, gap_s = 1.0"},
	{kind: "bad_config", words: "count = 5, gap_s = 0.5"},
	{kind: "big_config", words: "count = 350"},
	{kind: "evacuate", hows: []string{"", "warm"}, words: "for_s = 8.0"},
	{kind: "release", words: "share = 0.4, x = 1.0, gap_s = 1.0"},
	{kind: "scale_in", hows: []string{"", "spot"}, words: "share = 0.15"},
	{kind: "scale_out", words: "share = 0.3, gap_s = 2.0"},
	{kind: "roll_term", hows: []string{"", "busy"}, words: "share = 0.5, x = 1.0, gap_s = 1.2"},
	{kind: "seed_turnover"},
	{kind: "hup", words: "share = 0.6, gap_s = 2.0"},
}

var unplanned = []trouble{
	{kind: "ack_lost", words: "x = 0.6, for_s = 6.0"},
	{kind: "after_ack_kill", hows: []string{"", "kill", "timed"}, words: "for_s = 3.0"},
	{kind: "after_ack_wipe", words: "for_s = 3.0"},
	{kind: "answer_lost", hows: []string{"", "reset"}, words: "share = 0.5, x = 0.1, for_s = 5.0"},
	{kind: "burst", words: "x = 1.7, for_s = 4.0"},
	{kind: "clock_step", hows: []string{"", "back", "ahead"}, words: "x = 4000.0, share = 0.4, for_s = 5.0"},
	{kind: "cold_return", hows: []string{"", "dark"}, words: "for_s = 4.0"},
	{kind: "core_cut", hows: []string{"", "leader", "split", "all", "near", "one_way", "both", "lure", "relieve", "leader race"}, words: "count = 1, for_s = 5.0"},
	{kind: "disk_full", words: "count = 1, for_s = 5.0"},
	{kind: "disk_slow", hows: []string{"", "leader"}, words: "count = 1, x = 30.0, for_s = 6.0"},
	{kind: "disk_stall", hows: []string{"", "leader"}, words: "count = 1, for_s = 4.0"},
	{kind: "garble", hows: []string{"", "extra", "unframed", "early", "extra late"}, words: "share = 0.5, x = 0.04, for_s = 5.0"},
	{kind: "give_up", words: "share = 0.3, for_s = 5.0"},
	{kind: "herd_kill", hows: []string{"", "power"}, words: "share = 0.5, for_s = 2.0"},
	{kind: "idle_race", words: "share = 0.5, x = 320.0, for_s = 6.0"},
	{kind: "lossy", words: "x = 0.04, for_s = 5.0"},
	{kind: "node_cut", hows: []string{"", "all", "servers", "reset"}, words: "share = 0.3, for_s = 5.0"},
	{kind: "node_freeze", words: "share = 0.2, for_s = 4.0"},
	{kind: "node_kill", hows: []string{"", "power"}, words: "share = 0.3, for_s = 3.0"},
	{kind: "node_slow", words: "share = 0.3, x = 6.0, for_s = 5.0"},
	{kind: "one_way", words: "for_s = 5.0"},
	{kind: "replace_core", hows: []string{"", "planned", "seed"}, words: "x = 2.0"},
	{kind: "replace_with_reuse", hows: []string{"", "drain", "dark"}, words: "share = 0.2"},
	{kind: "reset_conns", words: "share = 0.4, x = 0.5"},
	{kind: "retry_abuse", words: "share = 0.3, x = 3.0, for_s = 5.0"},
	{kind: "shift", words: "share = 0.6, for_s = 6.0"},
	{kind: "srv_crash", hows: []string{"", "dark", "gone"}, words: "share = 0.2, for_s = 4.0"},
	{kind: "srv_flap", words: "share = 0.2, gap_s = 1.4, for_s = 6.0"},
	{kind: "srv_grey", hows: []string{"", "shed"}, words: "share = 0.15, x = 0.45, for_s = 6.0"},
	{kind: "srv_lying_health", hows: []string{"", "bad"}, words: "share = 0.2, for_s = 6.0"},
	{kind: "srv_slow", words: "share = 0.2, x = 6.0, for_s = 6.0"},
	{kind: "zone_cut", hows: []string{"", "reset"}, words: "for_s = 5.0"},
	{kind: "zone_loss", words: "for_s = 5.0"},
}

var closings = []string{"power_off_all", "wipe_after_ack", "kill_all"}

func main() {
	seed := flag.Uint64("seed", 1, "the day's seed")
	without := flag.String("without", "", "kinds to leave out, separated by commas")
	flag.Parse()
	fmt.Fprint(os.Stdout, draw(*seed, strings.Split(*without, ",")))
}

// draw returns the day of a seed as the bench reads it.
func draw(seed uint64, without []string) string {
	random := rand.New(rand.NewPCG(seed, seed))
	var b strings.Builder
	fmt.Fprintf(&b, "[[day]]\nname = \"drawn-%d\"\nslot = \"trouble\"\nseed = %d\n", seed, 1000+seed)
	fmt.Fprintf(&b, "closing = { kind = %q, down_s = 1.2 }\n", closings[random.IntN(len(closings))])
	writeTroubles(&b, "plan", random, planned, without)
	writeTroubles(&b, "faults", random, unplanned, without)
	return b.String()
}

func writeTroubles(b *strings.Builder, name string, random *rand.Rand, kinds []trouble, without []string) {
	fmt.Fprintf(b, "%s = [\n", name)
	for range leastTroubles + random.IntN(mostTroubles-leastTroubles+1) {
		t := kinds[random.IntN(len(kinds))]
		at := beginSeconds + random.Float64()*(endSeconds-beginSeconds)
		how := ""
		if len(t.hows) > 0 {
			how = t.hows[random.IntN(len(t.hows))]
		}
		if slices.Contains(without, t.kind) {
			continue
		}
		fmt.Fprintf(b, "  { at = %.2f, kind = %q", at, t.kind)
		if t.words != "" {
			fmt.Fprintf(b, ", %s", t.words)
		}
		if how != "" {
			fmt.Fprintf(b, ", how = %q", how)
		}
		b.WriteString(" },\n")
	}
	b.WriteString("]\n")
}
