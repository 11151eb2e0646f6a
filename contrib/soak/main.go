// Command soak is a fault injection test. It runs the real programs as separate
// processes on loopback, injects the faults that a seed determines and checks the
// system's guarantees by what callers, targets and operators observe.
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

const (
	// startupTimeout bounds the wait until the first document is accepted, and other
	// waits of operators.
	startupTimeout = 15 * time.Second
	// recoveryTime is how long the system has to recover after the last fault.
	recoveryTime = 6 * time.Second
	// minServedShare is the share of requests that must be served after recovery.
	minServedShare = 0.9
	// networkCount is how many loopback networks the runs cycle through.
	networkCount = 200
)

func main() {
	binary := flag.String("binary", "bin/ledgesill", "path of the ledgesill binary")
	seeds := flag.String("seeds", "1", "comma-separated seeds, ranges such as 1-50, and @FILE for a file with one seed a line")
	length := flag.Duration("length", 10*time.Second, "how long faults are injected")
	controls := flag.Int("controls", 3, "number of control replicas")
	entries := flag.Int("entries", 3, "number of entry boxes")
	targets := flag.Int("targets", 6, "number of targets")
	clients := flag.Int("clients", 8, "number of clients")
	network := flag.Int("network", 0, "index of the first loopback network; soaks that run at the same time need different ones")
	allOff := flag.Bool("all-off", false, "kill all boxes and replicas at once in the middle of a run, as a power loss does")
	keep := flag.String("keep", "", "directory for the logs of failed runs")
	flag.Parse()
	list, err := parseSeeds(*seeds)
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(2)
	}
	failed := 0
	for i, seed := range list {
		n := size{controls: *controls, entries: *entries, targets: *targets, clients: *clients, allOff: *allOff}
		if err := runSeed(*binary, (*network+i)%networkCount, seed, n, *length, *keep); err != nil {
			fmt.Printf("seed %d failed:\n%v\n", seed, err)
			failed++
		}
	}
	fmt.Printf("soak: %d passed, %d failed\n", len(list)-failed, failed)
	if failed > 0 {
		os.Exit(1)
	}
}

// parseSeeds parses the -seeds flag.
func parseSeeds(text string) ([]uint64, error) {
	var out []uint64
	for _, part := range strings.Split(text, ",") {
		if name, ok := strings.CutPrefix(part, "@"); ok {
			list, err := readSeedFile(name)
			if err != nil {
				return nil, err
			}
			out = append(out, list...)
			continue
		}
		first, last, isRange := strings.Cut(part, "-")
		a, err := strconv.ParseUint(first, 10, 64)
		if err != nil {
			return nil, fmt.Errorf("invalid seed %q: %w", part, err)
		}
		b := a
		if isRange {
			if b, err = strconv.ParseUint(last, 10, 64); err != nil || b < a {
				return nil, fmt.Errorf("invalid range of seeds %q", part)
			}
		}
		for s := a; s <= b; s++ {
			out = append(out, s)
		}
	}
	return out, nil
}

// readSeedFile reads the seed at the start of each line. The rest of the line says why
// the seed is in the list.
func readSeedFile(name string) ([]uint64, error) {
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

// runSeed runs one seed. Its error lists the violations that were found.
func runSeed(binary string, network int, seed uint64, n size, length time.Duration, keep string) error {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return err
	}
	h, err := newHarness(binary, dir, network, seed, n)
	if err == nil {
		h.execute(n, length)
	}
	h.close()
	if err != nil {
		return err
	}
	failed := h.violations.list()
	fmt.Printf("seed %d: %s\n", seed, h.counts.String())
	if len(failed) == 0 {
		return os.RemoveAll(dir)
	}
	if keep != "" {
		kept := filepath.Join(keep, fmt.Sprint("seed", seed))
		if err := os.Rename(dir, kept); err == nil {
			dir = kept
		}
	}
	return fmt.Errorf("  %s\n  logs: %s", strings.Join(failed, "\n  "), dir)
}

// execute starts the system, injects faults under traffic and checks the guarantees
// after recovery.
func (h *harness) execute(n size, length time.Duration) {
	if !h.putNextDocument(startupTimeout) {
		h.violations.add("the first document was not accepted within %s", startupTimeout)
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	type traffic struct {
		records []attemptRecord
		fatal   []string
	}
	results := make(chan traffic, 1)
	go func() {
		records, fatal := h.runTraffic(ctx, n.clients)
		results <- traffic{records, fatal}
	}()
	limitsDone := make(chan struct{})
	go func() {
		defer close(limitsDone)
		h.keepRateLimited(ctx)
	}()
	rejectionsDone := make(chan struct{})
	go func() {
		defer close(rejectionsDone)
		h.keepRejecting(ctx, rand.New(rand.NewPCG(h.seed, 13)))
	}()
	if n.allOff {
		h.injectFaults(length / 2)
		h.restartAll(append(slices.Clone(h.controls), h.entries...))
		h.injectFaults(length / 2)
	} else {
		h.injectFaults(length)
	}
	faultsEnd := time.Now()
	time.Sleep(recoveryTime)
	recovered := time.Now()
	if !h.putNextDocument(startupTimeout) && !h.readBack() {
		h.violations.add("no change was accepted after recovery")
	}
	time.Sleep(recoveryTime / 2)
	cancel()
	result := <-results
	records := result.records
	<-limitsDone
	<-rejectionsDone
	h.checkTargetLimits()
	h.checkBackOffs(records)
	h.checkLeaving(records)
	h.checkFatal(result.fatal, faultsEnd)
	h.checkRuns(records)
	h.checkServed(records, recovered)
	h.checkCuts(records)
	if !h.readBack() {
		h.violations.add("the document can't be read back")
	}
	if !h.history.check() {
		h.violations.add("the operators' writes and reads of the document are not linearizable")
	}
	h.checkExits()
}

// readBack asks the replicas in turn until one returns the document.
func (h *harness) readBack() bool {
	end := time.Now().Add(startupTimeout)
	for i := 0; time.Now().Before(end); i++ {
		list := h.controlAddresses()
		if h.readDocument(list[i%len(list)]) {
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

// checkServed checks that enough requests were served since a time.
func (h *harness) checkServed(records []attemptRecord, since time.Time) {
	all, served := 0, 0
	for _, r := range records {
		if r.sent.Before(since) || r.workspace == limitedWorkspace {
			continue // requests over a limit need not be served
		}
		all++
		if r.status == 200 {
			served++
		}
	}
	if all == 0 || float64(served) < minServedShare*float64(all) {
		h.violations.add("%d of %d requests were served after recovery", served, all)
	}
}
