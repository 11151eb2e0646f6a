// Package bubble runs tests in testing/synctest bubbles and keeps the race detector from
// crashing in them.
package bubble

import (
	"testing"
	"testing/synctest"
)

// Test runs f in a bubble, as synctest.Test does. Under the race detector the process runs
// goroutines on one thread at a time until f ends, so f must not set GOMAXPROCS.
//
// A bubble runs the functions of all its timers in one context of the race detector, on any
// thread that receives from a due timer, creates one or resets one. The detector corrupts its
// memory if two threads use a context at once, and crashes with a failed CHECK or SIGSEGV.
//
// On one thread goroutines switch only where they block or yield, or after about 10 ms. The
// detector misses a race that shows only if two goroutines overlap between two synchronization
// points, such as two accesses that both stand between critical sections of the same mutex.
func Test(t *testing.T, f func(*testing.T)) {
	t.Helper()
	defer limitThreads()()
	synctest.Test(t, f)
}
