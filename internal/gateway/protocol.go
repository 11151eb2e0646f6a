// Package gateway is the daemon of an entry box that forwards requests to the targets of every
// availability zone. It follows the control replicas, matches requests to routes, chooses targets
// and forwards requests and responses unchanged.
package gateway

import "ledgesill.dev/ledgesill/pkg/targetstatus"

// Protocol names the headers of requests and responses, and parses those that have a format of
// their own.
type Protocol struct {
	// RequestID is the id of a caller's attempt, which targets send back.
	RequestID string
	// AffinityKey names the object that a request is about.
	AffinityKey string
	// Deadline is how many milliseconds the sender waits.
	Deadline string
	// ExpectTarget is the id of the target that a request is meant for.
	ExpectTarget string
	// WorkspaceKey is the key of a caller's workspace, which is never forwarded to targets.
	// Workspace is the name of the workspace, which the box sends to targets.
	WorkspaceKey string
	Workspace    string
	// Status are the headers in which a target reports its status.
	Status targetstatus.Headers
	// NewRequestID generates an id for a request without one; nil if callers must send one.
	NewRequestID func() string
}
