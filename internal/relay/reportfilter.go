package relay

import (
	"time"

	"google.golang.org/protobuf/proto"

	"ledgesill.dev/ledgesill/pkg/wire"
)

// RefreshInterval is how often a report that says nothing new is repeated.
const RefreshInterval = 5 * time.Second

// loadChange is the part of a pool's capacity by which its load must differ to
// be news.
const loadChange = 10

// ReportFilter leaves out reports that the upstream already has. It is a state
// machine without I/O.
type ReportFilter struct {
	sent map[string]sentReport
}

type sentReport struct {
	report *wire.BoxReport
	made   time.Time
	sentAt time.Time
}

// NewReportFilter returns a filter for an upstream that has nothing.
func NewReportFilter() *ReportFilter { return &ReportFilter{sent: make(map[string]sentReport)} }

// Filter returns the reports that are to be sent at now: those with news, and
// those last sent a refresh interval ago. A report that is no newer than the
// one that was sent is never repeated, so that a silent box is seen to be
// silent. If eager is true, as while a shift runs, every newer report is sent.
func (f *ReportFilter) Filter(now time.Time, reports []*wire.BoxReport, eager bool) []*wire.BoxReport {
	var out []*wire.BoxReport
	for _, r := range reports {
		made := now.Add(-time.Duration(r.AgeMilli) * time.Millisecond)
		last, ok := f.sent[r.Box]
		if ok && !made.After(last.made) {
			continue
		}
		if ok && !eager && now.Sub(last.sentAt) < RefreshInterval && !isNews(last.report, r) {
			continue
		}
		f.sent[r.Box] = sentReport{proto.CloneOf(r), made, now}
		out = append(out, r)
	}
	return out
}

// isNews reports whether a report says something else than the one before.
func isNews(a, b *wire.BoxReport) bool {
	same := a.Incarnation == b.Incarnation && a.Version == b.Version && a.Stopping == b.Stopping && len(a.Pools) == len(b.Pools)
	if !same {
		return true
	}
	for i, p := range a.Pools {
		q := b.Pools[i]
		if p.Service != q.Service || p.Capacity != q.Capacity || p.Targets != q.Targets || p.Draining != q.Draining {
			return true
		}
		change := max(p.Busy, q.Busy) - min(p.Busy, q.Busy)
		if change*loadChange > max(p.Capacity, loadChange) {
			return true
		}
	}
	return false
}
