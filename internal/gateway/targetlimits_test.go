package gateway

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"ledgesill.dev/ledgesill/pkg/wire"
)

// Seen: a target named in its answers how many requests a second it takes from all boxes
// together, and went on getting three times as much for as long as it said so.

const (
	// limitHeader is how the targets of these tests name their limit.
	limitHeader = "Test-Limit"
	// needWindow is the span in which a target in need counts what it gets.
	needWindow = 4 * time.Second
	// needExcess and needSlack are what it may get in it beyond its limit, and toldBefore is
	// how long ago a box must have been told for its requests to count.
	needExcess = 1.5
	needSlack  = 5
	toldBefore = 500 * time.Millisecond
)

// needy is a target that may be in need. It counts what reaches it.
type needy struct {
	mu sync.Mutex
	// limit is what it names, empty for nothing.
	limit    string
	arrivals []arrival
	// told are when each box first got an answer that names a limit.
	told map[int]time.Time
}

type arrival struct {
	at  time.Time
	box int
}

func (n *needy) name(limit string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.limit = limit
}

// serve answers the requests of one connection of a box.
func (n *needy) serve(box int, c net.Conn) {
	s := &target{script: func(_ int, r *http.Request, c net.Conn) bool {
		n.arrive(box)
		_, _ = io.Copy(io.Discard, r.Body)
		time.Sleep(20 * time.Millisecond)
		named := ""
		if limit := n.tell(box); limit != "" {
			named = limitHeader + ": " + limit + "\r\n"
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTest-Id: %s\r\n%sContent-Length: 2\r\n\r\nok", r.Header.Get("Test-Id"), named)
		return true
	}}
	s.serve(c)
}

func (n *needy) arrive(box int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.arrivals = append(n.arrivals, arrival{time.Now(), box})
}

// tell returns the limit that is named to a box now.
func (n *needy) tell(box int) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, told := n.told[box]; n.limit != "" && !told {
		n.told[box] = time.Now()
	}
	return n.limit
}

// most returns the most requests in any window that ends at from or later, of boxes that
// had been told.
func (n *needy) most(from time.Time) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	var counted []time.Time
	for _, a := range n.arrivals {
		if told, ok := n.told[a.box]; ok && a.at.Sub(told) >= toldBefore {
			counted = append(counted, a.at)
		}
	}
	most, first := 0, 0
	for i, at := range counted {
		for at.Sub(counted[first]) > needWindow {
			first++
		}
		if !at.Before(from) {
			most = max(most, i-first+1)
		}
	}
	return most
}

// between counts all requests of a span.
func (n *needy) between(from, to time.Time) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for _, a := range n.arrivals {
		if !a.at.Before(from) && a.at.Before(to) {
			count++
		}
	}
	return count
}

// needyScene is some boxes that share targets in virtual time.
type needyScene struct {
	boxes   []*Daemon
	targets []*needy
	random  *rand.Rand
	asked   int
	// served and refused count the answers to callers.
	mu              sync.Mutex
	served, refused int
}

func newNeedyScene(t *testing.T, boxes, targets int) *needyScene {
	t.Helper()
	s := &needyScene{random: rand.New(rand.NewPCG(1, 1))}
	var addresses []string
	for i := range targets {
		s.targets = append(s.targets, &needy{told: make(map[int]time.Time)})
		addresses = append(addresses, fmt.Sprint(i))
	}
	var list []*wire.EntryBox
	for i := range boxes {
		list = append(list, &wire.EntryBox{Name: fmt.Sprint("box", i), Zone: "z", Region: "r"})
	}
	for i := range boxes {
		config := testConfig()
		config.Name = list[i].Name
		d := newDaemon(t, config, addresses...)
		d.setBoxes(list)
		d.connections.dial = func(_ context.Context, _, address string) (net.Conn, error) {
			var n int
			if _, err := fmt.Sscan(address, &n); err != nil {
				return nil, err
			}
			near, far := net.Pipe()
			go s.targets[n].serve(i, far)
			return near, nil
		}
		s.boxes = append(s.boxes, d)
	}
	t.Cleanup(func() {
		for _, d := range s.boxes {
			d.connections.close()
			_ = d.callers.listener.Close()
			_ = d.ready.Close()
		}
	})
	return s
}

// load has callers send requests for a time, each at a box by lot.
func (s *needyScene) load(perSecond int, length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(time.Second / time.Duration(perSecond)) {
		s.asked++
		go s.ask(s.boxes[s.random.IntN(len(s.boxes))], s.asked)
	}
}

// settle waits until all requests have been answered.
func (s *needyScene) settle() {
	time.Sleep(5 * time.Second)
	synctest.Wait()
}

func (s *needyScene) ask(d *Daemon, n int) {
	r := httptest.NewRequest(http.MethodPost, "/safe/", strings.NewReader(""))
	r.Host = "a.example"
	r.Header.Set("Test-Id", fmt.Sprint("id", n))
	r.Header.Set("Test-Key", fmt.Sprint("key", n))
	r.Header.Set("Test-Deadline", "1500")
	w := httptest.NewRecorder()
	d.ServeHTTP(w, r)
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.Code == http.StatusOK {
		s.served++
	} else {
		s.refused++
	}
}

func allowedInWindow(limit float64) int {
	return int(needExcess*limit*needWindow.Seconds() + needSlack)
}

// The sum over all boxes keeps to what a target names, for as long as it does, also where
// no control replica can be asked.
func TestTargetGetsNoMoreThanItNames(t *testing.T) {
	for _, boxes := range []int{1, 9, 30} {
		t.Run(fmt.Sprint(boxes), func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				const limit = 5.6
				s := newNeedyScene(t, boxes, 4)
				s.load(80, 2*time.Second)
				s.targets[0].name("5.6")
				named := time.Now()
				s.load(80, 12*time.Second)
				s.settle()
				if got := s.targets[0].most(named.Add(needWindow)); got > allowedInWindow(limit) {
					t.Errorf("a target that names %v a second got %d requests in %s from boxes that it had told, allowed %d", limit, got, needWindow, allowedInWindow(limit))
				}
				if s.refused > 0 {
					t.Errorf("%d of %d requests were refused, the other targets have room for all", s.refused, s.asked)
				}
			})
		})
	}
}
