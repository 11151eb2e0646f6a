package control

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/kataras/iris/v12"

	"ledgesill.dev/ledgesill/internal/operator"
	"ledgesill.dev/ledgesill/internal/relay"
	"ledgesill.dev/ledgesill/pkg/consensus"
	"ledgesill.dev/ledgesill/pkg/lookup"
	"ledgesill.dev/ledgesill/pkg/settings"
	"ledgesill.dev/ledgesill/pkg/timeline"
	"ledgesill.dev/ledgesill/pkg/wire"
)

const (
	// silentAfter is how long a box or replica may be silent before it needs attention: two
	// refresh intervals and the delay of the relays.
	silentAfter = 2*relay.RefreshInterval + 2*time.Second
	// lagAfter is how long a box may lag behind the current version before it needs attention.
	lagAfter = 3 * time.Second
)

func (d *Daemon) getStatus(c iris.Context) {
	v, err := d.replica.view(c.Request().Context())
	if err != nil {
		d.failWith(c, err)
		return
	}
	isLeader := v.status.Role == consensus.Leader
	if !isLeader && c.URLParam("local") != "true" && v.status.Leader != "" && !v.status.CutOff {
		d.failWith(c, &consensus.NotLeaderError{Leader: v.status.Leader})
		return
	}
	_ = c.JSON(d.status(v)) // the client notices a failed write
}

func (d *Daemon) status(v view) operator.Status {
	s := operator.Status{
		NeedsAttention:  []string{},
		Process:         d.config.Name,
		Role:            v.status.Role.String(),
		Leader:          v.status.Leader,
		CutOff:          v.status.CutOff,
		Term:            v.status.Term,
		Commit:          v.status.Commit,
		Version:         v.state.Version(),
		SettingsVersion: v.state.SettingsVersion(),
		Replicas:        replicas(v),
		Repairs:         d.repairList(),
		Boxes:           d.boxes(v),
		CutOffBoxes:     d.cutOffBoxes(),
	}
	s.NeedsAttention = append(s.NeedsAttention, attention(s)...)
	return s
}

func replicas(v view) []operator.Replica {
	var out []operator.Replica
	add := func(m *wire.Replica, voter bool) {
		r := operator.Replica{ID: m.Id, Address: m.Address, Voter: voter}
		if m.Id == v.status.ID {
			r.Match = v.status.LastIndex
		}
		for _, p := range v.status.Peers {
			if p.ID == m.Id {
				r.Match = p.Match
				r.SilenceMillis = p.Silence.Milliseconds()
			}
		}
		out = append(out, r)
	}
	for _, m := range v.membership.Voters {
		add(m, true)
	}
	for _, m := range v.membership.Learners {
		add(m, false)
	}
	return out
}

func (d *Daemon) repairList() []operator.Repair {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []operator.Repair
	for id, step := range d.repairs {
		out = append(out, operator.Repair{ID: id, Address: d.addresses[id], Step: string(step)})
	}
	slices.SortFunc(out, func(a, b operator.Repair) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// boxes returns every entry box in the settings with its latest report.
func (d *Daemon) boxes(v view) []operator.Box {
	reports := make(map[string]*wire.BoxReport)
	for _, b := range d.publisher.Reports() {
		reports[b.Box] = b
	}
	out := []operator.Box{}
	for _, z := range v.state.Tree().Zones() {
		for _, b := range z.Boxes {
			out = append(out, d.box(b, reports[b.Name], v.state.Version()))
		}
	}
	return out
}

// cutOffBoxes returns the entry boxes that reach the targets of their region through other boxes only.
func (d *Daemon) cutOffBoxes() (names []string) {
	for _, b := range d.Boxes(lookup.ReportValidity(len(d.Boxes(boxCountWindow)))) {
		if b.CutOff {
			names = append(names, b.Box)
		}
	}
	return names
}

func (d *Daemon) box(b settings.Box, r *wire.BoxReport, version uint64) operator.Box {
	out := operator.Box{Name: b.Name, Zone: b.Zone, Reported: r != nil}
	if r != nil {
		out.Version = r.Version
		out.SilentMillis = r.AgeMilli
		out.Stopping = r.Stopping
		for _, p := range r.Pools {
			out.Pools = append(out.Pools, operator.Pool{Service: p.Service, Capacity: p.Capacity, Busy: p.Busy, Targets: p.Targets, Draining: p.Draining})
		}
	}
	out.Behind = version - min(out.Version, version)
	d.mu.Lock()
	defer d.mu.Unlock()
	if out.Behind == 0 {
		delete(d.laggingSince, b.Name)
		return out
	}
	since, ok := d.laggingSince[b.Name]
	if !ok {
		since = d.clock.Now()
		d.laggingSince[b.Name] = since
	}
	out.LagMillis = d.clock.Since(since).Milliseconds()
	return out
}

// attention lists the conditions that need an operator's attention.
func attention(s operator.Status) []string {
	var out []string
	if s.CutOff {
		out = append(out, fmt.Sprintf("control replica %s is cut off: it can't reach a quorum and what it says may be old", s.Process))
	}
	for _, r := range s.Replicas {
		if time.Duration(r.SilenceMillis)*time.Millisecond > silentAfter {
			out = append(out, fmt.Sprintf("control replica %s at %s has been silent for %.0f s", r.ID, r.Address, float64(r.SilenceMillis)/1000))
		}
	}
	for _, r := range s.Repairs {
		if r.Step != string(consensus.RepairFinished) {
			out = append(out, fmt.Sprintf("repair of control replica %s is not finished: %s", r.ID, r.Step))
		}
	}
	for _, name := range s.CutOffBoxes {
		out = append(out, fmt.Sprintf("entry box %s reaches the targets of its region through other boxes only", name))
	}
	for _, b := range s.Boxes {
		switch {
		case !b.Reported:
			out = append(out, fmt.Sprintf("entry box %s in %s has not reported to this leader", b.Name, b.Zone))
		case time.Duration(b.SilentMillis)*time.Millisecond > silentAfter:
			out = append(out, fmt.Sprintf("entry box %s in %s has been silent for %.0f s", b.Name, b.Zone, float64(b.SilentMillis)/1000))
		case time.Duration(b.LagMillis)*time.Millisecond > lagAfter:
			out = append(out, fmt.Sprintf("entry box %s in %s lags %d versions for %.0f s", b.Name, b.Zone, b.Behind, float64(b.LagMillis)/1000))
		}
	}
	return out
}

// getTimeline collects the events of all known processes and merges them.
func (d *Daemon) getTimeline(c iris.Context) {
	filter := &wire.TimelineRequest{
		Request: c.URLParam("request"),
		Change:  c.URLParam("change"),
		Shift:   c.URLParam("shift"),
		Box:     c.URLParam("box"),
	}
	v, err := d.replica.view(c.Request().Context())
	if err != nil {
		fail(c, http.StatusServiceUnavailable, operator.CodeNoQuorum, err.Error())
		return
	}
	answers, missing := d.collectTimelines(c.Request().Context(), d.processAddresses(v), filter)
	answers = append(answers, d.process.Ring.Events(filter))
	out := operator.Timeline{Events: []operator.Event{}, Missing: missing}
	for _, e := range timeline.Merge(answers...) {
		out.Events = append(out.Events, operator.Event{
			TimeUnixMilli: e.Clock.GetWallUnixMilli(),
			Logical:       e.Clock.GetLogical(),
			Process:       e.Process,
			Sequence:      e.Sequence,
			Kind:          e.Kind,
			Request:       e.Request,
			Change:        e.Change,
			Shift:         e.Shift,
			Box:           e.Box,
			Detail:        e.Detail,
		})
	}
	_ = c.JSON(out) // the client notices a failed write
}

func (d *Daemon) processAddresses(v view) []string {
	var out []string
	for _, address := range d.config.Peers {
		if address != d.config.PeerAddress {
			out = append(out, address)
		}
	}
	for _, z := range v.state.Tree().Zones() {
		for _, b := range z.Boxes {
			out = append(out, b.PeerAddress)
		}
	}
	return out
}

func (d *Daemon) collectTimelines(ctx context.Context, addresses []string, filter *wire.TimelineRequest) (answers []*wire.TimelineAnswer, missing []string) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	var mu sync.Mutex
	var running sync.WaitGroup
	for _, address := range addresses {
		running.Go(func() {
			a, err := d.node.Call(ctx, address, &wire.CallRequest{Timeline: filter})
			mu.Lock()
			defer mu.Unlock()
			if err != nil || a.Timeline == nil {
				missing = append(missing, address)
				return
			}
			answers = append(answers, a.Timeline)
		})
	}
	running.Wait()
	slices.Sort(missing)
	return answers, missing
}
