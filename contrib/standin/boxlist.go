package standin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// BoxList is the platform's list of boxes and their states, served over HTTP. It shows
// changes only after a delay.
type BoxList struct {
	lag time.Duration
	now func() time.Time

	mu      sync.Mutex
	changes []stateChange
}

type stateChange struct {
	at      time.Time
	address string
	state   string
}

// NewBoxList returns an empty list that delays changes by lag.
func NewBoxList(lag time.Duration, now func() time.Time) *BoxList {
	return &BoxList{lag: lag, now: now}
}

// Set sets the state of a box, such as live or leaving.
func (p *BoxList) Set(address, state string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.changes = append(p.changes, stateChange{p.now(), address, state})
}

// ServeHTTP implements http.Handler.
func (p *BoxList) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	type box struct {
		Address string `json:"address"`
		State   string `json:"state"`
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	state := make(map[string]string)
	for _, c := range p.changes {
		if p.now().Sub(c.at) >= p.lag {
			state[c.address] = c.state
		}
	}
	list := struct {
		Boxes []box `json:"boxes"`
	}{Boxes: []box{}}
	for a, s := range state {
		list.Boxes = append(list.Boxes, box{a, s})
	}
	_ = json.NewEncoder(w).Encode(list) // the reader sees a truncated response
}
