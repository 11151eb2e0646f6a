package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// longAnswer is the length of the answers; those of the downloads of the pages have up to 540 kB.
	longAnswer = 400 << 10
	// breakShare is the share of the answers that an unsound server breaks off.
	breakShare = 0.03
	// slowRead is how long a client takes for 16 KiB of an answer.
	slowRead = 8 * time.Millisecond
	// They do so from breakStart on, counted from the start of the clients, for breakTime.
	breakStart = 3 * time.Second
	breakTime  = 5500 * time.Millisecond
)

// brokenAhead: a third of the servers break off a few of their answers while clients pipeline reads. A
// request behind such an answer, which the box has passed on to a sound server, must be answered.
func brokenAhead(e *Environment) (broken bool, err error) {
	unsound := map[string]bool{"i-za1": true, "i-zb1": true}
	var breaking atomic.Bool
	d, servers, err := startSite(e, func(s *Server, w http.ResponseWriter, r *http.Request) {
		time.Sleep(20 * time.Millisecond)
		body := make([]byte, longAnswer)
		if breaking.Load() && unsound[s.ID] && rand.Float64() < breakShare {
			id := r.Header.Get("X-Ledgesill-Attempt-Id")
			w.Header().Set("X-Ledgesill-Server-Seal", "seal-"+id)
			w.Header().Set("Content-Length", fmt.Sprint(len(body)))
			_, _ = w.Write(body[:len(body)-len(body)/10])
			e.Record.Add("server %s breaks off its answer to %s", s.ID, id)
			panic(http.ErrAbortHandler)
		}
		s.Answer(w, r, body)
	})
	if d != nil {
		defer d.Stop()
	}
	if err != nil {
		return false, err
	}
	p := newPipeline(d)
	p.pause = slowRead
	wait := p.Start(48, 12*time.Second)
	time.Sleep(breakStart)
	breaking.Store(e.Trouble)
	time.Sleep(breakTime)
	breaking.Store(false)
	wait()
	lost, broke := 0, 0
	for _, u := range p.unanswered {
		s, _, whole := answeredBy(servers, u.id)
		if !whole {
			broke++
			continue
		}
		if unsound[s.ID] || !errors.Is(u.err, errBehind) {
			continue
		}
		lost++
		if lost <= 20 {
			e.Record.Say("lost: %s at %s, answered by sound server %s: %v", u.id, u.box, s.ID, u.err)
		}
	}
	e.Record.Say("answered: %d; not answered whole by a server: %d; lost behind them after a sound server's whole answer: %d", p.answered, broke, lost)
	return lost > 3, nil // the rule allows three
}
