package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record collects what was sent, answered and run, in one file.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	began time.Time
}

func newRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, out: bufio.NewWriter(f), began: time.Now()}, nil
}

// Add adds a line with the seconds since the start.
func (r *Record) Add(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, arguments...))
}

// Say adds a line and prints it.
func (r *Record) Say(format string, arguments ...any) {
	r.Add(format, arguments...)
	fmt.Printf("%9.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, arguments...))
}

// Close writes what is left to the file.
func (r *Record) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.out.Flush(); err != nil {
		return err
	}
	return r.file.Close()
}
