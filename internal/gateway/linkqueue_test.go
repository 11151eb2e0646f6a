package gateway

import (
	"testing"
	"time"
)

func TestLargeResponsesAreAdmittedAtLinkRate(t *testing.T) {
	const link, size, objective = 500_000, 100_000, 800 * time.Millisecond
	q := newLinkQueue(link)
	q.recordSize("long", size)
	q.recordSize("short", 400)
	now := time.Unix(0, 0)
	admitted, refused := 0, 0
	for i := range 1000 {
		at := now.Add(time.Duration(i) * 10 * time.Millisecond)
		if _, _, ok := q.admit(at, "short", objective); !ok {
			t.Fatal("a small response was refused")
		}
		_, wait, ok := q.admit(at, "long", objective)
		if ok {
			admitted++
			continue
		}
		refused++
		if wait <= 0 {
			t.Fatal("refused without a wait time")
		}
	}
	most := link*largeResponseShare*10/size + 3
	if float64(admitted) > most || float64(admitted) < most-5 || refused == 0 {
		t.Fatalf("%d admitted in 10 s, want about %v", admitted, most)
	}
}

func TestUnlimitedLinkAdmitsAll(t *testing.T) {
	q := newLinkQueue(0)
	q.recordSize("long", 1<<20)
	for range 1000 {
		if _, _, ok := q.admit(time.Unix(0, 0), "long", time.Millisecond); !ok {
			t.Fatal("refused on an unlimited link")
		}
	}
}

// Capacity that a request reserved and did not need is released, and what it needed beyond its
// reservation is added.
func TestReservationsAreSettled(t *testing.T) {
	const link, size, objective = 500_000, 100_000, 800 * time.Millisecond
	now := time.Unix(0, 0)
	waitAfter := func(settled int64) time.Duration {
		q := newLinkQueue(link)
		q.recordSize("long", size)
		b, _, ok := q.admit(now, "long", objective)
		if !ok {
			t.Fatal("refused on an idle link")
		}
		if settled >= 0 {
			b.settle(now, settled)
			b.settle(now, 0) // only the first call counts
		}
		return q.nextFree.Sub(now)
	}
	booked := waitAfter(-1)
	for settled, want := range map[int64]time.Duration{0: 0, size: booked, 3 * size: 3 * booked} {
		if got := waitAfter(settled); got != want {
			t.Errorf("after a response of %d bytes the link is free in %s, want %s", settled, got, want)
		}
	}
}

// Guards against a box that starts while the callers of its zone come back, admits all their
// downloads because it knows no sizes yet, and loses contact with control on the full link.
func TestDownloadsOfUnknownSizeAreLimited(t *testing.T) {
	const link, objective = 325_000, 1200 * time.Millisecond // 2.6 Mbit/s
	q := newLinkQueue(link)
	q.assumeLarge([]string{"download"})
	now := time.Unix(0, 0)
	admitted := 0
	for i := range 30 {
		if _, _, ok := q.admit(now.Add(time.Duration(i)*20*time.Millisecond), "download", objective); ok {
			admitted++
		}
	}
	if admitted == 0 || admitted > 3 {
		t.Errorf("%d of 30 downloads were admitted before a size was measured, want 1 to 3", admitted)
	}
	q.recordSize("download", 400)
	if _, _, ok := q.admit(now.Add(time.Minute), "download", objective); !ok || q.nextFree.After(now.Add(time.Minute)) {
		t.Error("the assumed size is used although one was measured")
	}
}
