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

// Ports of every process; each has an address of its own.
const (
	controlPort = 7100
	lookupPort  = 7101
	callerPort  = 7200
	readyPort   = 7201
	peerPort    = 7660
)

// process is one real process of the system, which the soak starts, signals
// by its id and starts again.
type process struct {
	name    string
	control bool
	zone    string
	// ip is where it listens, told is where others are told to reach it.
	ip, told string
	folder   string
	binary   string
	settings func(first bool) string

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan error
	// expected tells that its end was asked for.
	expected bool
	starts   int
	// disturbed are the times at which it was started or got a signal.
	disturbed moments
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	path := filepath.Join(p.folder, "settings.yaml")
	if err := os.WriteFile(path, []byte(p.settings(p.starts == 0)), 0o600); err != nil {
		return fmt.Errorf("writing the settings of %s: %w", p.name, err)
	}
	log, err := os.OpenFile(filepath.Join(p.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
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
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return fmt.Errorf("starting %s: %w", p.name, err)
	}
	p.command = c
	p.disturbed.add()
	p.expected = false
	p.starts++
	ended := make(chan error, 1)
	p.ended = ended
	go func() { ended <- c.Wait() }()
	return nil
}

// signal sends a signal to the process by its id.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.expected = true
	}
	p.disturbed.add()
	_ = p.command.Process.Signal(s) // it may have ended already
}

// wait waits for the end of the process.
func (p *process) wait(limit time.Duration) (error, bool) {
	select {
	case err := <-p.ended:
		p.ended <- err
		return err, true
	case <-time.After(limit):
		return nil, false
	}
}

// endedByItself reports an end that was not asked for.
func (p *process) endedByItself() (error, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.expected {
		return nil, false
	}
	select {
	case err := <-p.ended:
		p.ended <- err
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

// wipe empties the process's disk.
func (p *process) wipe() error { return os.RemoveAll(filepath.Join(p.folder, "data")) }

// settingsOf writes a settings file as the platform does.
func settingsOf(p *process, w *world, first bool) string {
	var s strings.Builder
	fmt.Fprintf(&s, "nodeName: %q\nip: %q\nzone: %q\nregion: %q\nzones:\n", p.name, p.told, p.zone, regionOf(p.zone))
	for _, z := range zones {
		fmt.Fprintf(&s, "  %s: %q\n", z, regionOf(z))
	}
	s.WriteString("listen:\n")
	if p.control {
		fmt.Fprintf(&s, "  control: \"%s:%d\"\n  directory: \"%s:%d\"\n", p.ip, controlPort, p.ip, lookupPort)
		fmt.Fprintf(&s, "dataDir: %q\n", filepath.Join(p.folder, "data"))
	} else {
		fmt.Fprintf(&s, "  front: \"%s:%d\"\n  ready: \"%s:%d\"\n", p.ip, callerPort, p.ip, readyPort)
	}
	fmt.Fprintf(&s, "internalPorts: [%d, %d]\nbootstrap: %v\nseeds:\n", peerPort, peerPort+15, first)
	for _, c := range w.controls[:min(3, len(w.controls))] {
		fmt.Fprintf(&s, "  - \"%s:%d\"\n", c.told, controlPort)
	}
	s.WriteString("limits: {memoryMb: 284, linkMbps: 1000}\nfaultTolerance: {machines: 1, zones: 1, regions: 1}\nbounds:\n")
	s.WriteString("  drain: \"2500ms\"\n  grace: \"6s\"\n  ttl_max: \"5s\"\n  retryRatio: 0.2\n  retrySlack: 58\n  retryWindow: \"10s\"\n")
	return s.String()
}

var zones = []string{"ea", "eb", "wa", "wb"}

func regionOf(zone string) string {
	return map[byte]string{'e': "east", 'w': "west"}[zone[0]]
}
