package gateway

import (
	"testing"
	"time"
)

func TestLongAnswersAreAdmittedAtTheLinksRate(t *testing.T) {
	const link, size, objective = 500_000, 100_000, 800 * time.Millisecond
	q := newLinkQueue(link)
	q.note("long", size)
	q.note("short", 400)
	now := time.Unix(0, 0)
	admitted, refused := 0, 0
	for i := range 1000 {
		at := now.Add(time.Duration(i) * 10 * time.Millisecond)
		if _, ok := q.admit(at, "short", objective); !ok {
			t.Fatal("a short answer was refused")
		}
		wait, ok := q.admit(at, "long", objective)
		if ok {
			admitted++
			continue
		}
		refused++
		if wait <= 0 {
			t.Fatal("a refusal without a wait")
		}
	}
	most := link*longShare*10/size + 3
	if float64(admitted) > most || float64(admitted) < most-5 || refused == 0 {
		t.Fatalf("%d admitted in 10 s, about %v are due", admitted, most)
	}
}

func TestWideLinkRefusesNothing(t *testing.T) {
	q := newLinkQueue(0)
	q.note("long", 1<<20)
	for range 1000 {
		if _, ok := q.admit(time.Unix(0, 0), "long", time.Millisecond); !ok {
			t.Fatal("refused")
		}
	}
}
