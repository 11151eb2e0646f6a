package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// leader returns the index of the control replica that won the last election.
func (c *cluster) leader() int {
	best, at := -1, ""
	for i, n := range c.controls {
		text, _ := os.ReadFile(filepath.Join(n.dir, "log"))
		for _, line := range bytes.Split(text, []byte("\n")) {
			if !bytes.Contains(line, []byte("leader in term")) {
				continue
			}
			if j := bytes.Index(line, []byte(`"time":"`)); j >= 0 && string(line[j:]) > at {
				best, at = i, string(line[j:])
			}
		}
	}
	return best
}

// staleOrder checks that an evacuation that was acknowledged stays in force, although an earlier
// order to take it back was held up by a cut between control replicas.
func staleOrder(log *record, trouble bool) (broken bool, err error) {
	c, err := newCluster(log, 3, 2, true)
	if err != nil {
		return false, err
	}
	defer c.close()
	if err := c.startAll(); err != nil {
		return false, err
	}
	if err := c.configure(10*time.Second, route{"flags", "safe", "/flags/", "resolver"}); err != nil {
		return false, err
	}
	if err := c.waitReady(10 * time.Second); err != nil {
		return false, err
	}
	servers := make(map[string]*server)
	for i, zone := range zones {
		s, err := c.newServer("i-"+zone, "resolver", zone, fmt.Sprintf("%s:%d", c.address(100+i), serverPort), 16, 20*time.Millisecond)
		if err != nil {
			return false, err
		}
		if err := s.register(5 * time.Second); err != nil {
			return false, err
		}
		servers[zone] = s
	}
	var running sync.WaitGroup
	stop := make(chan struct{})
	var flags tally
	for i := range 6 {
		cl := &client{log, c.address(200 + i)}
		running.Go(func() {
			for n := i; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				flags.add(cl.send(c.entries[n%2], http.MethodGet, fmt.Sprintf("/flags/%d", n), nil, 2*time.Second))
			}
		})
	}
	defer running.Wait()
	defer func() { close(stop) }()
	time.Sleep(6 * time.Second)
	lead := c.leader()
	if lead < 0 {
		return false, fmt.Errorf("no leader is known")
	}
	cutOff, other := (lead+1)%3, (lead+2)%3
	log.add("%s leads", c.controls[lead].name)
	path := "/ledgesill/evacuation/eb"
	if err := c.order(4*time.Second, http.MethodPost, path, nil, c.controls[other]); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second)
	cut := time.Now()
	if trouble {
		log.add("%s is cut off from the other control replicas", c.controls[cutOff].name)
		for i, p := range c.proxies {
			p.setCut(i == cutOff, c.controls[cutOff].name)
		}
	}
	if err := c.order(4*time.Second, http.MethodDelete, path, nil, c.controls[cutOff], c.controls[other]); err != nil {
		return false, err
	}
	if err := c.order(4*time.Second, http.MethodPost, path, nil, c.controls[other]); err != nil {
		return false, err
	}
	log.add("the evacuation of eb is acknowledged and not taken back any more")
	if trouble {
		time.Sleep(time.Until(cut.Add(1700 * time.Millisecond)))
		for _, p := range c.proxies {
			p.setCut(false, "")
		}
		log.add("the cut heals after %s", time.Since(cut).Round(time.Millisecond))
	}
	time.Sleep(10 * time.Second)
	log.add("from now on the machines are in touch and the evacuation is more than 5 s old")
	_, before, _ := servers["eb"].counts()
	_, beforeOther, _ := servers["ea"].counts()
	time.Sleep(15 * time.Second)
	_, after, _ := servers["eb"].counts()
	_, afterOther, _ := servers["ea"].counts()
	log.add("in 15 s, %d requests reached eb and %d ea", after-before, afterOther-beforeOther)
	fmt.Printf("eb %d ea %d\n", after-before, afterOther-beforeOther)
	return after > before, nil
}
