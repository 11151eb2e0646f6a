package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// answerSize is the length of the servers' answers: those of the downloads of the pages are 90 kB on
// average and 540 kB at most.
const answerSize = 200 << 10

// pipelinedStop: a box gets SIGTERM while clients pipeline reads. No answer that a server has given may
// be lost.
func pipelinedStop(e *Environment) (broken bool, err error) {
	d, servers, err := startSite(e, func(s *Server, w http.ResponseWriter, r *http.Request) {
		time.Sleep(20 * time.Millisecond)
		s.Answer(w, r, make([]byte, answerSize))
	})
	if d != nil {
		defer d.Stop()
	}
	if err != nil {
		return false, err
	}
	p := newPipeline(d)
	wait := p.Start(60, 26*time.Second)
	time.Sleep(2 * time.Second)
	stops := make(map[string]time.Time)
	for _, b := range d.Fronts {
		if !e.Trouble {
			break
		}
		e.Record.Say("SIGTERM to %s", b.Name)
		stops[b.Name] = time.Now()
		p.Avoid(b)
		b.Signal(sigterm)
		if !b.Wait(7 * time.Second) {
			return false, fmt.Errorf("%s has not ended", b.Name)
		}
		e.Record.Say("%s has ended", b.Name)
		if err := b.Start(); err != nil {
			return false, err
		}
		time.Sleep(2 * time.Second)
		p.Return(b)
	}
	wait()
	lost := 0
	for _, u := range p.unanswered {
		stopped, ok := stops[u.box]
		_, answeredAt, whole := answeredBy(servers, u.id)
		if !ok || !whole || u.at.Before(stopped) || u.at.After(stopped.Add(7*time.Second)) {
			continue
		}
		lost++
		e.Record.Say("lost: %s at %s %.3f s after the SIGTERM, answered by its server %.3f s before that: %d bytes of the answer, %v",
			u.id, u.box, u.at.Sub(stopped).Seconds(), u.at.Sub(answeredAt).Seconds(), u.read, u.err)
	}
	e.Record.Say("answered: %d; lost after a server's whole answer: %d", p.answered, lost)
	return lost > 0, nil
}

// startSite starts a deployment of three zones with an entry box and two servers each, which handle
// requests as given.
func startSite(e *Environment, handle func(s *Server, w http.ResponseWriter, r *http.Request)) (*Deployment, []*Server, error) {
	d, err := newDeployment(e.Dir, e.Record, []string{"za", "zb", "zc"}, 1, 284)
	if err != nil {
		return nil, nil, err
	}
	if err := d.Start(); err != nil {
		return d, nil, err
	}
	if err := newOperator(d).Configure(Configuration{Version: 1, RouteType: "safe", Timeout: "3000ms", WarmupPerS: 1000, MaxAttempts: 2}); err != nil {
		return d, nil, err
	}
	if err := d.MarkStarted(); err != nil {
		return d, nil, err
	}
	var servers []*Server
	for i, z := range d.zones {
		for n := range 2 {
			s, err := startServer(d, fmt.Sprintf("i-%s%d", z, n+1), z, 100+10*i+n, handle)
			if err != nil {
				return d, nil, err
			}
			servers = append(servers, s)
		}
	}
	return d, servers, awaitService(newClient(d), d.Fronts)
}

// Start starts a number of clients for a time and returns a function that waits for their end.
func (p *Pipeline) Start(clients int, length time.Duration) (wait func()) {
	until := time.Now().Add(length)
	var running sync.WaitGroup
	for range clients {
		running.Go(func() { p.Run(until) })
	}
	return running.Wait
}
