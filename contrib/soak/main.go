// Command soak runs the real programs as separate processes on loopback,
// disturbs them from outside by the plan of a seed and checks their promises
// by what callers, targets and operators see.
package main

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Lengths of the parts of a run.
const (
	formTime  = 15 * time.Second
	quietTime = 6 * time.Second
	// servedShare is the part of the requests that must be served once all is
	// well again.
	servedShare = 0.9
	// networks is how many loopback networks the runs take in turn.
	networks = 200
)

func main() {
	binary := flag.String("binary", "bin/ledgesill", "the program")
	seeds := flag.String("seeds", "1", "seeds, ranges such as 1-50, and @FILE for seeds in a file")
	length := flag.Duration("length", 10*time.Second, "how long faults come")
	controls := flag.Int("controls", 3, "control replicas")
	entries := flag.Int("entries", 3, "entry boxes")
	targets := flag.Int("targets", 6, "targets")
	clients := flag.Int("clients", 8, "clients")
	network := flag.Int("network", 0, "number of the first loopback network, so that several soaks can run at once")
	allOff := flag.Bool("all-off", false, "kill all boxes and replicas at once in the middle of a run, as a loss of power does")
	keep := flag.String("keep", "", "folder for the logs of runs that fail")
	flag.Parse()
	list, err := seedList(*seeds)
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(2)
	}
	failed := 0
	for i, seed := range list {
		n := size{controls: *controls, entries: *entries, targets: *targets, clients: *clients, allOff: *allOff}
		if err := runSeed(*binary, (*network+i)%networks, seed, n, *length, *keep); err != nil {
			fmt.Printf("seed %d failed:\n%v\n", seed, err)
			failed++
		}
	}
	fmt.Printf("soak: %d passed, %d failed\n", len(list)-failed, failed)
	if failed > 0 {
		os.Exit(1)
	}
}

func seedList(text string) ([]uint64, error) {
	var out []uint64
	for _, part := range strings.Split(text, ",") {
		if name, ok := strings.CutPrefix(part, "@"); ok {
			list, err := seedFile(name)
			if err != nil {
				return nil, err
			}
			out = append(out, list...)
			continue
		}
		first, last, isRange := strings.Cut(part, "-")
		a, err := strconv.ParseUint(first, 10, 64)
		if err != nil {
			return nil, fmt.Errorf("seed %q: %w", part, err)
		}
		b := a
		if isRange {
			if b, err = strconv.ParseUint(last, 10, 64); err != nil || b < a {
				return nil, fmt.Errorf("range of seeds %q", part)
			}
		}
		for s := a; s <= b; s++ {
			out = append(out, s)
		}
	}
	return out, nil
}

// seedFile reads the seed at the beginning of each line; the rest of the line
// tells why it is kept.
func seedFile(name string) ([]uint64, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("reading seeds: %w", err)
	}
	var out []uint64
	for _, line := range strings.Split(strings.TrimSpace(string(data)), "\n") {
		first, _, _ := strings.Cut(line, " ")
		seed, err := strconv.ParseUint(first, 10, 64)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		out = append(out, seed)
	}
	return out, nil
}

// runSeed runs one seed and returns what was seen broken.
func runSeed(binary string, run int, seed uint64, n size, length time.Duration, keep string) error {
	folder, err := os.MkdirTemp("", "soak")
	if err != nil {
		return err
	}
	w, err := newWorld(binary, folder, run, seed, n)
	if err == nil {
		w.play(n, length)
	}
	w.close()
	if err != nil {
		return err
	}
	failed := w.promises.list()
	fmt.Printf("seed %d: %s\n", seed, w.counts.String())
	if len(failed) == 0 {
		return os.RemoveAll(folder)
	}
	if keep != "" {
		to := filepath.Join(keep, fmt.Sprint("seed", seed))
		if err := os.Rename(folder, to); err == nil {
			folder = to
		}
	}
	return fmt.Errorf("  %s\n  logs: %s", strings.Join(failed, "\n  "), folder)
}

// play forms the system, disturbs it under traffic and looks at it once all is
// well again.
func (w *world) play(n size, length time.Duration) {
	if !w.changeConfig(formTime) {
		w.promises.broken("the first document was not taken in %s", formTime)
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	type traffic struct {
		records []attemptRecord
		fatal   []string
	}
	seen := make(chan traffic, 1)
	go func() {
		records, fatal := w.traffics(ctx, n.clients)
		seen <- traffic{records, fatal}
	}()
	needed := make(chan struct{})
	go func() {
		defer close(needed)
		w.keepInNeed(ctx)
	}()
	spoke := make(chan struct{})
	go func() {
		defer close(spoke)
		w.keepRejecting(ctx, rand.New(rand.NewPCG(w.seed, 13)))
	}()
	if n.allOff {
		w.disturbances(length / 2)
		w.restartAll(append(slices.Clone(w.controls), w.entries...))
		w.disturbances(length / 2)
	} else {
		w.disturbances(length)
	}
	calmSince := time.Now()
	time.Sleep(quietTime)
	good := time.Now()
	if !w.changeConfig(formTime) && !w.readBack() {
		w.promises.broken("no change is taken after all is well again")
	}
	time.Sleep(quietTime / 2)
	cancel()
	all := <-seen
	records := all.records
	<-needed
	<-spoke
	w.checkNeeds()
	w.checkBackOffs(records)
	w.checkLeaving(records)
	w.checkFatal(all.fatal, calmSince)
	w.checkRuns(records)
	w.checkServed(records, good)
	if !w.readBack() {
		w.promises.broken("the document can't be read back")
	}
	if !w.history.check() {
		w.promises.broken("no order of the operators' writes and reads explains what they were told")
	}
	w.checkEnds()
}

// readBack reads the document until one replica gives it.
func (w *world) readBack() bool {
	end := time.Now().Add(formTime)
	for i := 0; time.Now().Before(end); i++ {
		list := w.controlAddresses()
		if w.readConfig(list[i%len(list)]) {
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

func (w *world) checkServed(records []attemptRecord, since time.Time) {
	all, served := 0, 0
	for _, r := range records {
		if r.sent.Before(since) || r.workspace == limitedWorkspace {
			continue // what is beyond a limit is not owed
		}
		all++
		if r.status == 200 {
			served++
		}
	}
	if all == 0 || float64(served) < servedShare*float64(all) {
		w.promises.broken("%d of %d requests were served after all was well again", served, all)
	}
}
