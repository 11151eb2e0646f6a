package gateway

import (
	"context"
	"io"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"ledgesill.dev/ledgesill/internal/bubble"
)

// The load of downloads at one of 273 boxes: 1.3 requests per second with responses of 90 KB on
// average, on a link of 2.6 Mbit/s. The link carries such a response in 0.28 s, once to the box and
// once from it. A target that has the object cached responds after 0.54 s. The objective is 1.2 s.
const (
	busyLink      = 2_600_000 / 8
	busyRate      = 1.3
	busyMean      = 90_000
	busySpread    = 0.6
	busyRun       = 540 * time.Millisecond
	busyObjective = 1200 * time.Millisecond
	busyRequests  = 400
)

// zeros is the body of a target that sends as fast as it is read.
type zeros struct{ left int64 }

// Read implements io.Reader.
func (z *zeros) Read(p []byte) (int, error) {
	if z.left == 0 {
		return 0, io.EOF
	}
	n := min(int64(len(p)), z.left)
	z.left -= n
	return int(n), nil
}

// Guards against large responses that share a narrow link so that none of them completes.
func TestLargeResponsesCompleteOnNarrowLink(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		r := rand.New(rand.NewPCG(1, 1))
		q, s := newLinkQueue(busyLink), newShaper(busyLink)
		q.recordSize("download", busyMean)
		type end struct{ whole, held, alone time.Duration }
		ends := make(chan end)
		admitted := 0
		for range busyRequests {
			time.Sleep(time.Duration(r.ExpFloat64() / busyRate * float64(time.Second)))
			size := int64(busyMean * math.Exp(busySpread*r.NormFloat64()-busySpread*busySpread/2))
			b, _, ok := q.admit(time.Now(), "download", busyObjective)
			if !ok {
				continue
			}
			q.recordSize("download", size)
			admitted++
			go func() {
				began := time.Now()
				time.Sleep(busyRun)
				b.settle(time.Now(), size)
				if err := s.copy(context.Background(), io.Discard, &zeros{size}, size); err != nil {
					t.Error(err)
				}
				ends <- end{time.Since(began), time.Since(began) - busyRun, time.Duration(size) * s.timePerByte}
			}()
		}
		inTime, slowest, longest, waited := 0, time.Duration(0), time.Duration(0), time.Duration(0)
		for range admitted {
			e := <-ends
			if e.whole <= busyObjective {
				inTime++
			}
			slowest, longest = max(slowest, e.whole), max(longest, e.held)
			waited = max(waited, e.held-e.alone)
		}
		t.Logf("%d of %d admitted, %d in time, the slowest took %s and occupied its target for %s, the longest wait was %s", admitted, busyRequests, inTime, slowest, longest, waited)
		if admitted < busyRequests*55/100 {
			t.Errorf("%d of %d admitted", admitted, busyRequests)
		}
		if inTime < busyRequests*3/10 {
			t.Errorf("%d of %d in time", inTime, busyRequests)
		}
		if slowest > 4500*time.Millisecond {
			t.Errorf("the slowest response took %s", slowest)
		}
		if waited > 2*time.Second {
			t.Errorf("a response waited %s beyond the transfer of its own bytes", waited)
		}
	})
}
