package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

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
	closing := 0
	other.answer = func(w http.ResponseWriter, r *http.Request) {
		closing++
		if closing%3 == 0 {
			w.Header().Set("Connection", "close") // as servers do now and then
		}
		_, _ = io.WriteString(w, "done")
	}
	if err := other.register(5 * time.Second); err != nil {
		return false, err
	}
	var servers []*server
	startServers := func(generation int) error {
		servers = nil
		for i := range 4 {
			s, err := c.newServer(fmt.Sprintf("i-%d-%d", generation, i), "resolver", "ea", fmt.Sprintf("%s:%d", c.address(100+i), serverPort), 9, 480*time.Millisecond)
			if err != nil {
				return err
			}
			if err := s.register(5 * time.Second); err != nil {
				return err
			}
			servers = append(servers, s)
		}
		return nil
	}
	if err := startServers(1); err != nil {
		return false, err
	}
	var mu sync.Mutex
	measured := false
	var flags, hooks, before tally
	var running sync.WaitGroup
	stop := make(chan struct{})
	for i := range 12 {
		cl := &client{log, c.address(200 + i)}
		running.Go(func() {
			for n := i; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				r := cl.send(c.entries[n%2], http.MethodGet, "/flags/all", nil, 2500*time.Millisecond)
				h := cl.send(c.entries[n%2], http.MethodPost, "/hooks/x", []byte(fmt.Sprint(i, n)), 2500*time.Millisecond)
				mu.Lock()
				if measured {
					flags.add(r)
					hooks.add(h)
				} else {
					before.add(r)
				}
				mu.Unlock()
				time.Sleep(300 * time.Millisecond)
			}
		})
	}
	time.Sleep(6 * time.Second)
	if trouble {
		for _, s := range servers {
			s.crash()
		}
		time.Sleep(4500 * time.Millisecond)
		if err := startServers(2); err != nil {
			return false, err
		}
	}
	log.add("the servers are back")
	time.Sleep(15 * time.Second)
	mu.Lock()
	measured = true
	mu.Unlock()
	log.add("measuring")
	time.Sleep(30 * time.Second)
	close(stop)
	running.Wait()
	sent, good := flags.counts()
	sentHooks, goodHooks := hooks.counts()
	bs, bg := before.counts()
	log.add("flags: %d of %d served; hooks: %d of %d served", good, sent, goodHooks, sentHooks)
	fmt.Printf("before %d/%d flags %d/%d hooks %d/%d last %+v\n", bg, bs, good, sent, goodHooks, sentHooks, flags.last)
	return 4*good < sent, nil
}
