package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	// crashTime is how long the servers are down.
	crashTime = 4500 * time.Millisecond
	// timeAfter is how long the clients go on once the servers are back.
	timeAfter = 75 * time.Second
)

// crashed checks that a request which many clients send is served again after all servers of its
// service have crashed at once, while they ran it among others, and have come back.
func crashed(log *record, trouble bool) (broken bool, err error) {
	c, err := newCluster(log, 3, 2, false)
	if err != nil {
		return false, err
	}
	defer c.close()
	if err := c.startAll(); err != nil {
		return false, err
	}
	if err := c.configure(10*time.Second, route{"flags", "safe", "/flags/", "resolver"}, route{"hooks", "unsafe", "/hooks/", "exporter"}); err != nil {
		return false, err
	}
	if err := c.waitReady(10 * time.Second); err != nil {
		return false, err
	}
	other, err := c.newServer("i-other", "exporter", "ea", fmt.Sprintf("%s:%d", c.address(120), serverPort), 16, 20*time.Millisecond)
	if err != nil {
		return false, err
	}
	var closing sync.Mutex
	answers := 0
	other.answer = func(w http.ResponseWriter, r *http.Request) {
		closing.Lock()
		if answers++; answers%3 == 0 {
			w.Header().Set("Connection", "close") // as servers do now and then
		}
		closing.Unlock()
		_, _ = io.WriteString(w, "done")
	}
	if err := other.register(5 * time.Second); err != nil {
		return false, err
	}
	servers, err := c.startGeneration(1)
	if err != nil {
		return false, err
	}
	var flags, hooks tally
	var running sync.WaitGroup
	stop := make(chan struct{})
	for i := range 12 {
		cl := &client{log, c.address(200 + i)}
		running.Go(func() {
			time.Sleep(time.Duration(i) * 75 * time.Millisecond)
			for n := i; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(400 * time.Millisecond):
				}
				flags.add(cl.send(c.entries[n%2], http.MethodGet, "/flags/all", nil, 2500*time.Millisecond))
				hooks.add(cl.send(c.entries[n%2], http.MethodPost, "/hooks/x", []byte(fmt.Sprint(i, n)), 2500*time.Millisecond))
			}
		})
	}
	time.Sleep(6 * time.Second)
	sent, good := flags.counts()
	log.add("before the crash %d of %d flags are served", good, sent)
	if trouble {
		for _, s := range servers {
			s.crash()
		}
		time.Sleep(crashTime)
		if _, err := c.startGeneration(2); err != nil {
			return false, err
		}
		log.add("all servers are back and registered")
	}
	time.Sleep(15 * time.Second)
	lateSent, lateGood := flags.counts()
	time.Sleep(timeAfter - 15*time.Second)
	close(stop)
	running.Wait()
	sent, good = flags.counts()
	sentHooks, goodHooks := hooks.counts()
	log.add("flags: %d of %d served, of them %d of %d later than 15 s after the servers came back; hooks: %d of %d served", good, sent, good-lateGood, sent-lateSent, goodHooks, sentHooks)
	fmt.Printf("flags %d/%d, late %d/%d hooks %d/%d last %+v\n", good, sent, good-lateGood, sent-lateSent, goodHooks, sentHooks, flags.last)
	return isStarved(&flags, &hooks), nil
}

// startGeneration starts and registers four servers with ids of their own.
func (c *cluster) startGeneration(generation int) (servers []*server, err error) {
	for i := range 4 {
		s, err := c.newServer(fmt.Sprintf("i-%d-%d", generation, i), "resolver", "ea", fmt.Sprintf("%s:%d", c.address(100+i), serverPort), 3, 480*time.Millisecond)
		if err != nil {
			return nil, err
		}
		if err := s.register(5 * time.Second); err != nil {
			return nil, err
		}
		servers = append(servers, s)
	}
	return servers, nil
}
