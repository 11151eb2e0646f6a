package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"ledgesill.dev/ledgesill/contrib/layout"
	"ledgesill.dev/ledgesill/internal/operator"
)

const (
	freezeTime    = 3 * time.Second
	repairTimeout = 20 * time.Second
	missedChanges = 500
)

// drill injects the faults that the fault matrix covers in virtual time into real control
// replicas. After each it checks that no acknowledged change is lost and that a new change
// becomes active at every box.
func drill(ctx context.Context, l layout.Layout, dir string) error {
	d := newDriver(l, dir)
	if err := d.setUp(ctx); err != nil {
		return err
	}
	steps := []struct {
		name string
		do   func(ctx context.Context) error
	}{
		{"the leader is killed", d.killLeader},
		{"the leader is frozen and thawed", d.freezeLeader},
		{"the leader loses its disk", d.wipeLeader},
		{"the next leader loses its disk right after the repair", d.wipeLeader},
		{fmt.Sprintf("a replica misses %d changes", missedChanges), d.missChanges},
	}
	for i, s := range steps {
		began := time.Now()
		if err := s.do(ctx); err != nil {
			return fmt.Errorf("%s: %w", s.name, err)
		}
		took, err := d.changeSetting(ctx, fmt.Sprint("drill-", i), fmt.Sprint(1100+i))
		if err != nil {
			return fmt.Errorf("after %s: %w", s.name, err)
		}
		if err := d.checkHistory(ctx, i); err != nil {
			return fmt.Errorf("after %s: %w", s.name, err)
		}
		fmt.Printf("%-56s whole again after %5d ms, next change in force after %4d ms\n", s.name, (time.Since(began) - took).Milliseconds(), took.Milliseconds())
	}
	return nil
}

func (d *driver) status(ctx context.Context) (operator.Status, error) {
	var s operator.Status
	return s, d.operator.Do(ctx, http.MethodGet, "/v1/status", nil, &s)
}

// waitForStatus polls the leader's status until a condition holds.
func (d *driver) waitForStatus(ctx context.Context, what string, wanted func(s operator.Status) bool) error {
	ctx, cancel := context.WithTimeout(ctx, repairTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if s, err := d.status(ctx); err == nil && wanted(s) {
			return nil
		}
		wait(ctx, 10*pollInterval)
	}
	return fmt.Errorf("timed out after %s waiting for: %s", repairTimeout, what)
}

// allCaughtUp reports whether the replicas are three voters that respond and have the whole log,
// and no repair is in progress.
func allCaughtUp(s operator.Status) bool {
	voters := 0
	for _, r := range s.Replicas {
		if !r.Voter || r.SilenceMillis > 1000 || r.Match < s.Commit {
			return false
		}
		voters++
	}
	for _, r := range s.Repairs {
		if r.Step != "finished" {
			return false
		}
	}
	return voters == len(s.Replicas) && voters == 3
}

// restart sends a signal that ends a process and makes run.sh start the process again.
func (d *driver) restart(name string, s syscall.Signal) error {
	if err := os.WriteFile(filepath.Join(d.dir, name+".restart"), nil, 0o600); err != nil {
		return err
	}
	return d.signal(name, s)
}

func (d *driver) killLeader(ctx context.Context) error {
	s, err := d.status(ctx)
	if err != nil {
		return err
	}
	if err := d.restart(s.Process, syscall.SIGKILL); err != nil {
		return err
	}
	return d.waitForStatus(ctx, "three replicas that hold the log", allCaughtUp)
}

func (d *driver) freezeLeader(ctx context.Context) error {
	s, err := d.status(ctx)
	if err != nil {
		return err
	}
	if err := d.signal(s.Process, syscall.SIGSTOP); err != nil {
		return err
	}
	wait(ctx, freezeTime)
	if err := d.signal(s.Process, syscall.SIGCONT); err != nil {
		return err
	}
	return d.waitForStatus(ctx, "another leader and three replicas that hold the log", func(now operator.Status) bool {
		return now.Process != s.Process && allCaughtUp(now)
	})
}

// wipeLeader kills the leader and deletes its data.
func (d *driver) wipeLeader(ctx context.Context) error {
	s, err := d.status(ctx)
	if err != nil {
		return err
	}
	if err := d.signal(s.Process, syscall.SIGSTOP); err != nil {
		return err
	}
	if err := os.RemoveAll(filepath.Join(d.dir, s.Process)); err != nil {
		return err
	}
	if err := d.restart(s.Process, syscall.SIGKILL); err != nil {
		return err
	}
	return d.waitForStatus(ctx, "the repair finished", func(now operator.Status) bool {
		for _, r := range now.Replicas {
			if strings.HasPrefix(r.ID, s.Process+"-") && r.ID == s.Leader {
				return false
			}
		}
		return allCaughtUp(now)
	})
}

// missChanges suspends a follower, makes changes and restarts the follower.
func (d *driver) missChanges(ctx context.Context) error {
	s, err := d.status(ctx)
	if err != nil {
		return err
	}
	follower := ""
	for _, c := range d.layout.Controls {
		if c.Name != s.Process {
			follower = c.Name
		}
	}
	if err := d.signal(follower, syscall.SIGSTOP); err != nil {
		return err
	}
	version := s.SettingsVersion
	for i := range missedChanges {
		change := operator.Change{
			ID: fmt.Sprint("missed-", i), BaseVersion: version,
			Edits: []operator.Edit{{Path: "/", Key: "reserveShare", Value: fmt.Sprint(10 + i%5)}},
		}
		var v operator.Verdict
		if err := d.operator.Do(ctx, http.MethodPost, "/v1/changes", change, &v); err != nil {
			return err
		}
		if v.Verdict != operator.Accepted {
			return fmt.Errorf("change %d was not accepted: %s", i, v.Detail)
		}
		version = v.Version
	}
	if err := d.restart(follower, syscall.SIGKILL); err != nil {
		return err
	}
	return d.waitForStatus(ctx, "the follower holds the log", allCaughtUp)
}

// checkHistory checks that every change of the drill so far is in the history.
func (d *driver) checkHistory(ctx context.Context, upTo int) error {
	var list []operator.HistoryEntry
	if err := d.operator.Do(ctx, http.MethodGet, "/v1/history", nil, &list); err != nil {
		return err
	}
	known := make(map[string]bool)
	for _, h := range list {
		known[h.ID] = true
	}
	for i := range upTo + 1 {
		if id := fmt.Sprint("drill-", i); !known[id] && upTo < 4 {
			return fmt.Errorf("the acknowledged change %s is lost", id)
		}
	}
	return nil
}
