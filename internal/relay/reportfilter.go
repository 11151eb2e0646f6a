package relay

import (
	"time"

	"google.golang.org/protobuf/proto"

	"ledgesill.dev/ledgesill/pkg/wire"
)

// RefreshInterval is how often a report without significant changes is repeated.
const RefreshInterval = 5 * time.Second

// loadChangeDivisor makes a change of a pool's load significant if it is more than
// a tenth of the pool's capacity, and more than one request.
const loadChangeDivisor = 10

// ReportFilter drops reports that the upstream already has. It is a state
// machine without I/O.
type ReportFilter struct {
	sent map[string]sentReport
}

type sentReport struct {
	report    *wire.BoxReport
	createdAt time.Time
	sentAt    time.Time
}

// NewReportFilter returns a filter for an upstream that has no reports yet.
func NewReportFilter() *ReportFilter { return &ReportFilter{sent: make(map[string]sentReport)} }

// Filter returns the reports to send at now: those that changed significantly,
// and those last sent a refresh interval ago. A report that is no newer than the
// one sent before is never repeated, so that the upstream notices a silent box.
// If eager is set, as during a shift, every newer report is sent.
func (f *ReportFilter) Filter(now time.Time, reports []*wire.BoxReport, eager bool) []*wire.BoxReport {
	var out []*wire.BoxReport
	for _, r := range reports {
		made := now.Add(-time.Duration(r.AgeMilli) * time.Millisecond)
		last, ok := f.sent[r.Box]
		if ok && !made.After(last.createdAt) {
			continue
		}
		if ok && !eager && now.Sub(last.sentAt) < RefreshInterval && !isSignificant(last.report, r) {
			continue
		}
		f.sent[r.Box] = sentReport{proto.CloneOf(r), made, now}
		out = append(out, r)
	}
	return out
}

// isSignificant reports whether a report differs enough from the one sent before.
func isSignificant(a, b *wire.BoxReport) bool {
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
		if change*loadChangeDivisor > max(p.Capacity, loadChangeDivisor) {
			return true
		}
	}
	return false
}
