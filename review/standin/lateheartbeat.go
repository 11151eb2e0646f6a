package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

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
	address := fmt.Sprintf("%s:%d", c.address(100), serverPort)
	other, err := c.newServer("i-other", "resolver", "ea", fmt.Sprintf("%s:%d", c.address(101), serverPort), 8, 20*time.Millisecond)
	if err != nil {
		return false, err
	}
	if err := other.register(5 * time.Second); err != nil {
		return false, err
	}
	// The first incarnation starts while it is cut off from control: its only heartbeat is held up.
	first, err := c.newServer("i-first", "exporter", "ea", address, 8, 20*time.Millisecond)
	if err != nil {
		return false, err
	}
	late := first.heartbeat()
	log.add("server i-first: its heartbeat %s is held up by a cut", late)
	time.Sleep(500 * time.Millisecond)
	first.crash()
	time.Sleep(2 * time.Second)
	second, err := c.newServer("i-second", "exporter", "ea", address, 8, 20*time.Millisecond)
	if err != nil {
		return false, err
	}
	if err := second.register(5 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(2500 * time.Millisecond)
	if trouble {
		status := c.call(context.Background(), c.controls[0], http.MethodPut, "/ledgesill/instances/i-first", late)
		log.add("the late heartbeat of i-first arrives: %d", status)
	}
	time.Sleep(4 * time.Second)
	var running sync.WaitGroup
	var hooks, flags tally
	until := time.Now().Add(25 * time.Second)
	for i := range 4 {
		cl := &client{log, c.address(200 + i)}
		running.Go(func() {
			for n := 0; time.Now().Before(until); n++ {
				hooks.add(cl.send(c.entries[n%2], http.MethodPost, fmt.Sprintf("/hooks/%d", n), []byte("x"), 2*time.Second))
				flags.add(cl.send(c.entries[n%2], http.MethodGet, fmt.Sprintf("/flags/%d", n), nil, 2*time.Second))
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	running.Wait()
	sent, good := hooks.counts()
	sentFlags, goodFlags := flags.counts()
	acked, runs, foreign := second.counts()
	log.add("server i-second: %d heartbeats acknowledged, %d requests run, %d turned away with 421", acked, runs, foreign)
	log.add("hooks: %d of %d served; flags: %d of %d served; last %+v", good, sent, goodFlags, sentFlags, hooks.last)
	fmt.Printf("hooks %d/%d flags %d/%d acked %d runs %d foreign %d last %+v\n", good, sent, goodFlags, sentFlags, acked, runs, foreign, hooks.last)
	return 4*good*(sent+sentFlags) < (good+goodFlags)*sent, nil
}
