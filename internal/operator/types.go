// Package operator is the operators' HTTP interface of the control replicas: the
// types of its bodies and a client.
package operator

import (
	"fmt"
	"strings"
)

// Edit sets or unsets one key at one path.
type Edit struct {
	Path  string `json:"path"`
	Key   string `json:"key"`
	Value string `json:"value,omitempty"`
	Unset bool   `json:"unset,omitempty"`
}

// Change is a set of edits of the settings tree.
type Change struct {
	ID          string `json:"id"`
	BaseVersion uint64 `json:"baseVersion"`
	Edits       []Edit `json:"edits"`
	Author      string `json:"author,omitempty"`
}

// Verdicts on a change. Reused means that its ID was used for a different change, and
// Forgotten that its base version is older than the remembered IDs: the change was not
// applied now, but may have been accepted before.
const (
	Accepted  = "accepted"
	Conflict  = "conflict"
	Invalid   = "invalid"
	Reused    = "reused"
	Forgotten = "forgotten"
)

// Verdict is the result of submitting a change. Conflicts are the keys that conflict
// with later changes.
type Verdict struct {
	ID        string   `json:"id"`
	Verdict   string   `json:"verdict"`
	Version   uint64   `json:"version"`
	Conflicts []string `json:"clashes,omitempty"`
	Detail    string   `json:"detail,omitempty"`
}

// Setting is the value of one key at one path.
type Setting struct {
	Path  string `json:"path"`
	Key   string `json:"key"`
	Value string `json:"value"`
}

// Settings is the tree with its version. Fresh is false if the replica could not
// confirm with a quorum that this is the latest version.
type Settings struct {
	Version   uint64    `json:"version"`
	Fresh     bool      `json:"fresh"`
	AgeMillis int64     `json:"ageMillis"`
	Settings  []Setting `json:"settings"`
}

// HistoryEntry is one accepted change.
type HistoryEntry struct {
	ID            string `json:"id"`
	Version       uint64 `json:"version"`
	BaseVersion   uint64 `json:"baseVersion"`
	Author        string `json:"author,omitempty"`
	TimeUnixMilli int64  `json:"timeUnixMilli"`
	Edits         []Edit `json:"edits"`
	Inverse       []Edit `json:"inverse"`
}

// Replica is one control replica as the leader sees it.
type Replica struct {
	ID            string `json:"id"`
	Address       string `json:"address"`
	Voter         bool   `json:"voter"`
	Match         uint64 `json:"match"`
	SilenceMillis int64  `json:"silenceMillis"`
}

// Repair is the admission of a replica that was started on a new disk.
type Repair struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Step    string `json:"step"`
}

// Box is one entry box as control sees it.
type Box struct {
	Name         string `json:"name"`
	Zone         string `json:"zone"`
	Version      uint64 `json:"version"`
	Behind       uint64 `json:"behind"`
	SilentMillis int64  `json:"silentMillis"`
	// LagMillis is how long the box has lacked the current version.
	LagMillis int64  `json:"lagMillis"`
	Reported  bool   `json:"seen"`
	Stopping  bool   `json:"stopping,omitempty"`
	Pools     []Pool `json:"pools,omitempty"`
}

// Pool is the load of one pool as counted by its lease holder.
type Pool struct {
	Service  string `json:"service"`
	Capacity uint32 `json:"capacity"`
	Busy     uint32 `json:"busy"`
	Targets  uint32 `json:"targets"`
	Draining uint32 `json:"draining"`
}

// Status is a control replica's view of the system. NeedsAttention lists what an
// operator should look into, most urgent first; it is empty if all is well.
type Status struct {
	NeedsAttention  []string  `json:"needsAttention"`
	Process         string    `json:"process"`
	Role            string    `json:"role"`
	Leader          string    `json:"leader"`
	CutOff          bool      `json:"cutOff"`
	Term            uint64    `json:"term"`
	Commit          uint64    `json:"commit"`
	Version         uint64    `json:"version"`
	SettingsVersion uint64    `json:"settingsVersion"`
	Replicas        []Replica `json:"replicas,omitempty"`
	Repairs         []Repair  `json:"repairs,omitempty"`
	Boxes           []Box     `json:"boxes"`
	// CutOffBoxes are the entry boxes that reach the targets of their region through other boxes only.
	CutOffBoxes []string `json:"cutOffBoxes,omitempty"`
}

// Shift is a shift of traffic between regions.
type Shift struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Home    string `json:"home"`
	From    string `json:"from"`
	To      string `json:"to"`
	Points  uint32 `json:"points"`
	Moved   uint32 `json:"moved"`
	Steps   int    `json:"steps"`
	Phase   string `json:"phase"`
	Reason  string `json:"reason,omitempty"`
}

// Event is one event of the timeline.
type Event struct {
	TimeUnixMilli int64  `json:"timeUnixMilli"`
	Logical       uint32 `json:"logical"`
	Process       string `json:"process"`
	Sequence      uint64 `json:"sequence"`
	Kind          string `json:"kind"`
	Request       string `json:"request,omitempty"`
	Change        string `json:"change,omitempty"`
	Shift         string `json:"shift,omitempty"`
	Box           string `json:"box,omitempty"`
	Detail        string `json:"detail,omitempty"`
}

// Timeline is the merged timeline. Missing names the processes that did not answer.
type Timeline struct {
	Events  []Event  `json:"events"`
	Missing []string `json:"missing,omitempty"`
}

// Quarantined is a request that crashed the targets that ran it.
type Quarantined struct {
	// Digest identifies the request; it also appears in logs.
	Digest string `json:"digest"`
	// AllCallers is set if it applies to the request from any caller, not from one.
	AllCallers bool `json:"allCallers"`
	// Held is set if the request reaches no target; otherwise it is on probation.
	Held           bool     `json:"held"`
	Route          string   `json:"route"`
	Service        string   `json:"service"`
	CrashedTargets []string `json:"endedTargets"`
	UntilUnixMilli int64    `json:"untilUnixMilli"`
}

// Failure is the body of every error response.
type Failure struct {
	// Code is a stable short name of the error.
	Code string `json:"code"`
	// Message describes the error.
	Message string `json:"message"`
	// Leader is the operator address to use instead, if known.
	Leader string `json:"leader,omitempty"`
}

// Codes of failures.
const (
	CodeNotLeader      = "notLeader"
	CodeNoQuorum       = "noQuorum"
	CodeBadRequest     = "badRequest"
	CodeUnauthorized   = "unauthorized"
	CodeOutcomeUnknown = "outcomeNotKnown"
	CodeNotFound       = "notFound"
	CodeConflict       = "conflict"
	CodeInvalid        = "invalid"
)

// ParseEdit parses an edit in the form "path key=value", or "path key-" for one that
// unsets the key.
func ParseEdit(path, assignment string) (Edit, error) {
	key, value, set := strings.Cut(assignment, "=")
	if !strings.HasPrefix(path, "/") || key == "" {
		return Edit{}, fmt.Errorf("edit %q %q: it must be a path that begins with / and key=value, or key- to unset", path, assignment)
	}
	if set {
		return Edit{Path: path, Key: key, Value: value}, nil
	}
	name, unset := strings.CutSuffix(key, "-")
	if !unset {
		return Edit{}, fmt.Errorf("edit %q %q: it must be key=value, or key- to unset", path, assignment)
	}
	return Edit{Path: path, Key: name, Unset: true}, nil
}
