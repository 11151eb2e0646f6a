package main

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// failed503 checks that a request which has run is not answered as if it had not.
func failed503(log *record, trouble bool) (broken bool, err error) {
	c, err := newCluster(log, 3, 2, false)
	if err != nil {
		return false, err
	}
	defer c.close()
	if err := c.startAll(); err != nil {
		return false, err
	}
	if err := c.configure(10*time.Second, route{"toggles", "unsafe", "/toggles/", "resolver"}); err != nil {
		return false, err
	}
	if err := c.waitReady(10 * time.Second); err != nil {
		return false, err
	}
	for i := range 2 {
		s, err := c.newServer(fmt.Sprintf("i-%d", i), "resolver", zones[i], fmt.Sprintf("%s:%d", c.address(100+i), serverPort), 8, 30*time.Millisecond)
		if err != nil {
			return false, err
		}
		var count atomic.Int64
		s.answer = func(w http.ResponseWriter, r *http.Request) {
			if trouble && count.Add(1)%5 == 0 {
				log.add("server fails %s with 503 after it has run it, without X-Ledgesill-Not-Executed", r.Header.Get("X-Ledgesill-Attempt-Id"))
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			_, _ = io.WriteString(w, "done")
		}
		if err := s.register(5 * time.Second); err != nil {
			return false, err
		}
	}
	time.Sleep(6 * time.Second)
	refused := 0
	cl := &client{log, c.address(200)}
	for n := range 40 {
		r := cl.send(c.entries[n%2], http.MethodPost, fmt.Sprintf("/toggles/%d", n), []byte("x"), 2*time.Second)
		if r.err == nil && r.status == http.StatusServiceUnavailable {
			refused++
		}
	}
	log.add("%d requests that had run were answered with 503", refused)
	fmt.Println("refused", refused)
	return refused > 0, nil
}
