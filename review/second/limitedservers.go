package main

import (
	"fmt"
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// serversInNeed is how many servers name a limit; the pages' grown deployments have 232 to 438, and the large one 1,356.
	serversInNeed = 600
	// boxesPerZone make nine boxes, as in the smallest deployment of the pages.
	boxesPerZone = 3
	// readsPerSecond go to each box.
	readsPerSecond = 500
	// firstLimit is the limit in a server's first answer, which falls by limitDecay with each one.
	firstLimit = 50.0
	limitDecay = 0.997
	// routeTimeout is the timeout of the route.
	routeTimeout = 1500 * time.Millisecond
	// fewRequests may fail for other reasons.
	fewRequests = 20
	// playTime is how long the reads are sent at most.
	playTime = 60 * time.Second
	// hangTime is for how long a box must not answer anything to count as hung: several times the
	// deadline of the reads.
	hangTime = 10 * time.Second
)

// limitedServers: servers in need name in each answer how many requests they take now. The boxes must go
// on answering.
func limitedServers(e *Environment) (broken bool, err error) {
	d, err := newDeployment(e.Dir, e.Record, []string{"za", "zb", "zc"}, boxesPerZone, 284)
	if err != nil {
		return false, err
	}
	defer d.Stop()
	if err := d.Start(); err != nil {
		return false, err
	}
	if err := newOperator(d).Configure(Configuration{Version: 1, RouteType: "safe", Timeout: "1500ms", WarmupPerS: 1000, MaxAttempts: 2}); err != nil {
		return false, err
	}
	for i := range serversInNeed {
		zone := d.zones[i%len(d.zones)]
		var answers atomic.Int64
		s, err := startServer(d, fmt.Sprintf("i-%s%d", zone, i), zone, 100+i, func(s *Server, w http.ResponseWriter, r *http.Request) {
			time.Sleep(10 * time.Millisecond)
			if e.Trouble {
				// The longer it is in need, the less it takes.
				w.Header().Set("Server-Limit", fmt.Sprintf("%.2f", firstLimit*math.Pow(limitDecay, float64(answers.Add(1)))))
			}
			s.Answer(w, r, []byte("item"))
		})
		if err != nil {
			return false, err
		}
		defer s.Close()
	}
	client := newClient(d)
	if err := awaitService(client, d.Fronts); err != nil {
		return false, err
	}
	boxes := make([]*steadyReads, len(d.Fronts))
	var running sync.WaitGroup
	stop := make(chan struct{})
	for i, b := range d.Fronts {
		boxes[i] = &steadyReads{client: client, box: b, lastAnswer: time.Now()}
		running.Go(func() { boxes[i].run(stop) })
	}
	began := time.Now()
	hung := false
	for time.Since(began) < playTime && !hung {
		time.Sleep(time.Second)
		hung = hasHung(boxes)
	}
	close(stop)
	running.Wait()
	late, never := 0, 0
	for _, b := range boxes {
		b.mu.Lock()
		late, never = late+b.late, never+b.never
		e.Record.Say("%s (runs: %v): %d requests answered by the route's timeout, %d in the half second after it, %d not; the last answer %.1f s ago",
			b.box.Name, !b.box.HasEnded(), b.answered, b.late, b.never, time.Since(b.lastAnswer).Seconds())
		b.mu.Unlock()
	}
	// More than half of the requests without an answer at the timeout. A few, or those of a machine that is
	// too busy for this script, are no sign of a hung box.
	return hung && never > fewRequests && 2*never > late+never, nil
}

// hasHung reports whether one of the boxes has answered nothing for long.
func hasHung(boxes []*steadyReads) bool {
	for _, b := range boxes {
		b.mu.Lock()
		silent := time.Since(b.lastAnswer)
		b.mu.Unlock()
		if silent > hangTime {
			return true
		}
	}
	return false
}

// steadyReads sends reads to one box at a steady rate.
type steadyReads struct {
	client *Client
	box    *Machine

	mu sync.Mutex
	// answered, late and never count the requests that had an answer at the route's timeout, in the half
	// second after it, and not by then.
	answered, late, never int
	lastAnswer            time.Time
}

func (t *steadyReads) run(stop <-chan struct{}) {
	ticker := time.NewTicker(time.Second / readsPerSecond)
	defer ticker.Stop()
	var running sync.WaitGroup
	defer running.Wait()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		running.Go(func() { t.send(i) })
	}
}

// send sends one read and waits for its answer until half a second after the route's timeout.
func (t *steadyReads) send(i int) {
	id := newAttemptID()
	t.client.deployment.record.Add("client: %s to %s", id, t.box.Name)
	began := time.Now()
	status, _, err := t.client.Send(http.MethodGet, fmt.Sprintf("%s%d", prefix, i%997), id, nil, t.box, routeTimeout+500*time.Millisecond)
	t.client.deployment.record.Add("client: %s at %s: %d %v", id, t.box.Name, status, err)
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case err != nil:
		t.never++
		return
	case time.Since(began) > routeTimeout:
		t.late++
	default:
		t.answered++
	}
	t.lastAnswer = time.Now()
}
