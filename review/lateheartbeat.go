package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// isStarved is the gate's rule: a kind of request is served less than a quarter as often as all.
func isStarved(kind, others *tally) bool {
	sent, good := kind.counts()
	otherSent, otherGood := others.counts()
	return 4*good*(sent+otherSent) < (good+otherGood)*sent
}

// lateHeartbeat checks that a server whose registration was acknowledged gets requests, although a
// heartbeat of the incarnation before it, which was held up, arrives after that.
func lateHeartbeat(log *record, trouble bool) (broken bool, err error) {
	c, err := newCluster(log, 3, 2, false)
	if err != nil {
		return false, err
	}
	defer c.close()
	if err := c.startAll(); err != nil {
		return false, err
	}
	if err := c.configure(10*time.Second, route{"hooks", "unsafe", "/hooks/", "exporter"}, route{"flags", "safe", "/flags/", "resolver"}); err != nil {
		return false, err
	}
	if err := c.waitReady(10 * time.Second); err != nil {
		return false, err
	}
	other, err := c.newServer("i-other", "resolver", "ea", fmt.Sprintf("%s:%d", c.address(101), serverPort), 8, 20*time.Millisecond)
	if err != nil {
		return false, err
	}
	if err := other.register(5 * time.Second); err != nil {
		return false, err
	}
	// The first incarnation starts behind a cut: its only heartbeat is on its way when it crashes.
	address := fmt.Sprintf("%s:%d", c.address(100), serverPort)
	first, err := c.newServer("i-first", "exporter", "ea", address, 8, 20*time.Millisecond)
	if err != nil {
		return false, err
	}
	late := first.heartbeat()
	log.add("server i-first: a cut holds up its heartbeat %s", late)
	time.Sleep(500 * time.Millisecond)
	first.crash()
	time.Sleep(time.Second)
	second, err := c.newServer("i-second", "exporter", "ea", address, 8, 20*time.Millisecond)
	if err != nil {
		return false, err
	}
	if err := second.register(5 * time.Second); err != nil {
		return false, err
	}
	var running sync.WaitGroup
	var hooks, flags tally
	until := time.Now().Add(60 * time.Second)
	for i := range 4 {
		cl := &client{log, c.address(200 + i)}
		running.Go(func() {
			for n := 0; time.Now().Before(until); n++ {
				hooks.add(cl.send(c.entries[n%2], http.MethodPost, fmt.Sprintf("/hooks/%d-%d", i, n), []byte("x"), 2*time.Second))
				flags.add(cl.send(c.entries[n%2], http.MethodGet, fmt.Sprintf("/flags/%d-%d", i, n), nil, 2*time.Second))
				time.Sleep(500 * time.Millisecond)
			}
		})
	}
	time.Sleep(2 * time.Second)
	sent, good := hooks.counts()
	log.add("before the late heartbeat %d of %d hooks are served", good, sent)
	if trouble {
		status := c.call(context.Background(), c.controls[0], http.MethodPut, "/ledgesill/instances/i-first", late)
		log.add("the late heartbeat of i-first arrives at %s: %d", c.controls[0].name, status)
	}
	running.Wait()
	sent, good = hooks.counts()
	sentFlags, goodFlags := flags.counts()
	acked, runs, foreign := second.counts()
	log.add("server i-second: %d heartbeats acknowledged, %d requests run, %d turned away as they were for i-first", acked, runs, foreign)
	log.add("hooks: %d of %d served; flags: %d of %d served", good, sent, goodFlags, sentFlags)
	fmt.Printf("hooks %d/%d flags %d/%d acked %d runs %d foreign %d last %+v\n", good, sent, goodFlags, sentFlags, acked, runs, foreign, hooks.last)
	return isStarved(&hooks, &flags), nil
}
