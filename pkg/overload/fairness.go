package overload

import (
	"maps"
	"time"
)

const (
	// fairnessHalfLife is the half-life of the counts of workspaces. A box gets less than one
	// request per second of a usual workspace, so that shorter counts would be noise; a longer one
	// would notice a burst only at its end.
	fairnessHalfLife = 5 * time.Second
	// fairShareFactor is how many times the mean share of the workspaces one of them may have.
	fairShareFactor = 2
	// minExcessCount is the least count of a workspace that may exceed its share: below, one that
	// sends as much as the others exceeds it by chance.
	minExcessCount = 8
	// forgottenCount is the count below which a workspace is no longer counted among those that
	// share the service: it has sent nothing for 10 s or longer.
	forgottenCount = 0.25
	// maxWorkspaces bounds the workspaces that are counted, at about 150 bytes each.
	maxWorkspaces = 2048
)

// fairness finds the requests by which workspaces exceed their fair share of a service's requests.
// The zero value has no workspaces.
type fairness struct {
	total      rate
	workspaces map[string]*workspace
}

type workspace struct {
	requests rate
	// excess is the part of its requests beyond its share for which none was found to exceed it yet.
	excess float64
}

// exceeds counts a request of a workspace and reports whether it exceeds the workspace's fair share.
// Of a workspace with twice its fair share every second request does, so that the rest of its
// callers are served like those of others.
func (f *fairness) exceeds(now time.Time, name string) bool {
	w := f.workspaces[name]
	if w == nil {
		if len(f.workspaces) >= maxWorkspaces {
			return false
		}
		if f.workspaces == nil {
			f.workspaces = make(map[string]*workspace)
		}
		w = &workspace{}
		f.workspaces[name] = w
	}
	f.total.add(now, fairnessHalfLife)
	w.requests.add(now, fairnessHalfLife)
	count := w.requests.count
	allowed := fairShareFactor * f.total.count / float64(len(f.workspaces))
	if count < minExcessCount || count <= allowed {
		w.excess = 0
		return false
	}
	w.excess += 1 - allowed/count
	if w.excess < 1 {
		return false
	}
	w.excess--
	return true
}

// prune drops workspaces that have sent nothing lately.
func (f *fairness) prune(now time.Time) {
	maps.DeleteFunc(f.workspaces, func(_ string, w *workspace) bool {
		return w.requests.countAt(now, fairnessHalfLife) < forgottenCount
	})
}
