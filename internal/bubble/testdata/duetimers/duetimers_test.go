// Package duetimers holds bubbles in which several goroutines run due timers at once.
package duetimers

import (
	"sync"
	"testing"
	"time"

	"ledgesill.dev/ledgesill/internal/bubble"
)

func TestReceive(t *testing.T) {
	repeat(t, func() { <-time.After(0) })
}

func TestAfterFunc(t *testing.T) {
	repeat(t, func() {
		done := make(chan struct{})
		time.AfterFunc(0, func() { close(done) })
		<-done
	})
}

// TestSleepAndReceive wakes goroutines by the bubble's scheduler while others receive from
// timers that became due before.
func TestSleepAndReceive(t *testing.T) {
	repeat(t, func() {
		timer := time.NewTimer(time.Millisecond)
		time.Sleep(time.Millisecond)
		<-timer.C
	})
}

func repeat(t *testing.T, f func()) {
	for range 4 {
		bubble.Test(t, func(*testing.T) {
			var running sync.WaitGroup
			for range 16 {
				running.Go(func() {
					for range 3000 {
						f()
					}
				})
			}
			running.Wait()
		})
	}
}
