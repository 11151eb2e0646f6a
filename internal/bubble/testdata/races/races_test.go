// Package races holds data races in bubbles that the race detector is to report.
package races

import (
	"sync"
	"testing"
	"time"

	"ledgesill.dev/ledgesill/internal/bubble"
)

func TestUnlockedCounter(t *testing.T) {
	bubble.Test(t, func(*testing.T) {
		counter := 0
		parallel(func(int, int) { counter++ })
	})
}

func TestUnlockedMap(t *testing.T) {
	bubble.Test(t, func(*testing.T) {
		m := make(map[int]int)
		parallel(func(_, round int) { m[round]++ })
	})
}

// TestUnlockedRarePath leaves out the lock in one round of one goroutine.
func TestUnlockedRarePath(t *testing.T) {
	bubble.Test(t, func(*testing.T) {
		var mu sync.Mutex
		counter := 0
		parallel(func(goroutine, round int) {
			time.Sleep(time.Millisecond)
			if goroutine == 0 && round == rounds/2 {
				counter++
				return
			}
			mu.Lock()
			defer mu.Unlock()
			counter++
		})
	})
}

// TestUnlockedAfterReceive has goroutines that wait for timers between their accesses.
func TestUnlockedAfterReceive(t *testing.T) {
	bubble.Test(t, func(*testing.T) {
		counter := 0
		parallel(func(goroutine, _ int) {
			<-time.After(time.Duration(goroutine) * time.Millisecond)
			counter++
		})
	})
}

// TestUnlockedCallback has a timer's function and a goroutine that run at the same instant.
func TestUnlockedCallback(t *testing.T) {
	bubble.Test(t, func(*testing.T) {
		counter := 0
		done := make(chan struct{})
		time.AfterFunc(time.Millisecond, func() {
			counter++
			close(done)
		})
		time.Sleep(time.Millisecond)
		counter++
		<-done
	})
}

const rounds = 100

func parallel(f func(goroutine, round int)) {
	var running sync.WaitGroup
	for i := range 4 {
		running.Go(func() {
			for round := range rounds {
				f(i, round)
			}
		})
	}
	running.Wait()
}
