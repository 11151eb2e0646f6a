package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of the processes. They are the same for all, as each has its own IP address.
const (
	controlPort = 7100
	lookupPort  = 7101
	callerPort  = 7200
	readyPort   = 7201
	peerPort    = 7660
)

// process is one real process of the system, which the harness starts, signals by its ID
// and restarts.
type process struct {
	name    string
	control bool
	zone    string
	// ip is the address that it listens on. Other processes reach it under advertised, where
	// the proxies of control replicas listen.
	ip, advertised string
	// targetNetwork is the network in which an entry box reaches targets.
	targetNetwork string
	dir           string
	binary        string
	settings      func(first bool) string

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan error
	// exitExpected says that the harness has sent it a signal that ends it.
	exitExpected bool
	starts       int
	// faults are the times at which it was started or signaled.
	faults timestamps
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	path := filepath.Join(p.dir, "settings.yaml")
	if err := os.WriteFile(path, []byte(p.settings(p.starts == 0)), 0o600); err != nil {
		return fmt.Errorf("writing the settings of %s: %w", p.name, err)
	}
	log, err := os.OpenFile(filepath.Join(p.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("opening the log of %s: %w", p.name, err)
	}
	defer log.Close()
	role := "platform-entry"
	if p.control {
		role = "platform-control"
	}
	c := exec.Command(p.binary, role)
	c.Env = append(os.Environ(), "LEDGESILL_CONFIG="+path)
	if p.control {
		c.Env = append(c.Env, fmt.Sprintf("LEDGESILL_PEER_LISTEN=%s:%d", p.ip, peerPort))
	}
	if p.targetNetwork != "" {
		c.Env = append(c.Env, "LEDGESILL_TARGET_NETWORK="+p.targetNetwork)
	}
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return fmt.Errorf("starting %s: %w", p.name, err)
	}
	p.command = c
	p.faults.add()
	p.exitExpected = false
	p.starts++
	ended := make(chan error, 1)
	p.exited = ended
	go func() { ended <- c.Wait() }()
	return nil
}

// signal sends a signal to the process by its ID.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.exitExpected = true
	}
	p.faults.add()
	_ = p.command.Process.Signal(s) // it may have exited already
}

// wait waits until the process exits and returns its exit error. The second result is
// false if it is still running after limit.
func (p *process) wait(limit time.Duration) (error, bool) {
	select {
	case err := <-p.exited:
		p.exited <- err
		return err, true
	case <-time.After(limit):
		return nil, false
	}
}

// exitedUnexpectedly reports whether the process exited without being signaled to, and its
// exit error.
func (p *process) exitedUnexpectedly() (error, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.exitExpected {
		return nil, false
	}
	select {
	case err := <-p.exited:
		p.exited <- err
		return err, true
	default:
		return nil, false
	}
}

func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	p.wait(5 * time.Second)
}

// wipe deletes the data directory of the process.
func (p *process) wipe() error { return os.RemoveAll(filepath.Join(p.dir, "data")) }

// settingsText returns the content of a process's settings file, in the platform's format.
func settingsText(p *process, h *harness, first bool) string {
	var s strings.Builder
	fmt.Fprintf(&s, "nodeName: %q\nip: %q\nzone: %q\nregion: %q\nzones:\n", p.name, p.advertised, p.zone, regionOf(p.zone))
	for _, z := range zones {
		fmt.Fprintf(&s, "  %s: %q\n", z, regionOf(z))
	}
	s.WriteString("listen:\n")
	if p.control {
		fmt.Fprintf(&s, "  control: \"%s:%d\"\n  directory: \"%s:%d\"\n", p.ip, controlPort, p.ip, lookupPort)
		fmt.Fprintf(&s, "dataDir: %q\n", filepath.Join(p.dir, "data"))
	} else {
		fmt.Fprintf(&s, "  front: \"%s:%d\"\n  ready: \"%s:%d\"\n", p.ip, callerPort, p.ip, readyPort)
	}
	fmt.Fprintf(&s, "internalPorts: [%d, %d]\nbootstrap: %v\nseeds:\n", peerPort, peerPort+15, first)
	for _, c := range h.controls[:min(3, len(h.controls))] {
		fmt.Fprintf(&s, "  - \"%s:%d\"\n", c.advertised, controlPort)
	}
	s.WriteString("limits: {memoryMb: 284, linkMbps: 1000}\nfaultTolerance: {machines: 1, zones: 1, regions: 1}\nbounds:\n")
	s.WriteString("  drain: \"2500ms\"\n  grace: \"6s\"\n  ttl_max: \"5s\"\n  retryRatio: 0.2\n  retrySlack: 58\n  retryWindow: \"10s\"\n")
	return s.String()
}

var zones = []string{"ea", "eb", "wa", "wb"}

func regionOf(zone string) string {
	return map[byte]string{'e': "east", 'w': "west"}[zone[0]]
}
