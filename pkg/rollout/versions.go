// Package rollout decides how the requests of a service move to targets of another version, and
// whether that version is good enough for it. All parts are state machines without I/O.
//
// A Splitter at each entry box divides the requests between the versions and counts the responses.
// The control leader sums the counts in a Judge, and Next decides on the next step, which is
// committed to the replicated log and carried out by the boxes.
//
// While a roll-out is undecided, the target version gets at most a share of the service's requests.
// Each box keeps that bound by itself, from its own counts alone: what it sends to the target
// version is at most the share of the requests that reached any target from it. The sum over all
// boxes therefore keeps the bound as well, also if some are cut off from control or start again.
package rollout

import "slices"

// Versions is a set of versions of a service's targets. The zero value holds all.
type Versions struct {
	only   *string
	except []string
}

// OnlyVersion returns the set of one version.
func OnlyVersion(version string) Versions { return Versions{only: &version} }

// ExceptVersions returns the set of all versions but some.
func ExceptVersions(versions ...string) Versions { return Versions{except: versions} }

// Contains reports whether the set holds a version.
func (v Versions) Contains(version string) bool {
	if v.only != nil {
		return *v.only == version
	}
	return !slices.Contains(v.except, version)
}
