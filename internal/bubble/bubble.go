// Package bubble runs tests in the bubbles of testing/synctest, so that they also survive the
// race detector.
package bubble

import (
	"testing"
	"testing/synctest"
)

// Test runs f in a bubble, as synctest.Test does. Under the race detector the process runs
// goroutines on one thread at a time until f ends.
//
// A bubble runs the functions of all its timers in one context of the race detector, on any
// thread that receives from a due timer or creates one. The detector corrupts its memory if two
// threads use a context at once: it ends the process by a failed check or by SIGSEGV.
func Test(t *testing.T, f func(*testing.T)) {
	t.Helper()
	defer limitThreads()()
	synctest.Test(t, f)
}
