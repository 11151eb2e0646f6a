// Package gateway is the daemon of an entry box that sends requests itself to
// the targets of every availability zone: it follows the control replicas,
// matches requests to routes, chooses targets and passes requests and answers
// on unchanged.
package gateway

import "ledgesill.dev/ledgesill/pkg/targetstatus"

// Protocol names the headers of requests and answers, and reads those that
// have a format of their own.
type Protocol struct {
	// RequestID is the id of a caller's attempt, which targets send back.
	RequestID string
	// AffinityKey is the object that a request is about.
	AffinityKey string
	// Deadline is how many milliseconds the sender will wait.
	Deadline string
	// ExpectTarget is the id of the target that a request is meant for.
	ExpectTarget string
	// WorkspaceKey is the key of a caller's workspace, which targets never get; Workspace
	// is the name of the workspace, which the box tells targets.
	WorkspaceKey string
	Workspace    string
	// Status are the headers in which a target says how it is.
	Status targetstatus.Headers
	// NewRequestID names a request that comes without an id; nil where callers
	// must give one.
	NewRequestID func() string
}
