// Package pipelining decides which requests of a caller's connection start before the responses of
// the requests before them have been written (HTTP/1.1 pipelining), and how many bytes of their
// responses are buffered. It does no I/O.
package pipelining

// Reason tells whether a pipelined request started early, or why it did not.
type Reason string

// The reasons.
const (
	// StartedEarly: the request started before the server reached it.
	StartedEarly Reason = "early"
	// NotRepeatable is the reason of a request that may not run twice, has a body, or asks for more
	// than a response.
	NotRepeatable Reason = "notRepeatable"
	// Malformed is the reason of a head that can't be parsed.
	Malformed Reason = "malformed"
	// Behind is the reason of a request behind one that must run alone.
	Behind Reason = "behindOther"
	// BehindClosing is the reason of a request behind one after whose response the connection closes.
	BehindClosing Reason = "behindClosing"
	// TooMany is the reason of a request on a connection that has as many started requests as allowed.
	TooMany Reason = "tooMany"
	// ConnectionBytes and BoxBytes are the reasons when the buffered responses of the connection,
	// or those of the box, have reached their limit.
	ConnectionBytes Reason = "connectionBytes"
	BoxBytes        Reason = "boxBytes"
	// Stopping is the reason while the box shuts down.
	Stopping Reason = "stopping"
)

// Head is what the head of a request tells about whether it may start early.
type Head struct {
	Method       string
	Major, Minor int
	// ContentLength is in bytes; below zero if unknown.
	ContentLength int64
	// Chunked tells that the request has a Transfer-Encoding, Expects that it has an Expect header,
	// Upgrades that it asks for another protocol, and Closes that the connection closes after its
	// response.
	Chunked  bool
	Expects  bool
	Upgrades bool
	Closes   bool
	// Unrepeatable tells that the route allows the request to run at most once.
	Unrepeatable bool
	// Malformed tells that the server will refuse the head.
	Malformed bool
}

// obstacle returns why the request must run alone; empty if it need not.
func (h Head) obstacle() Reason {
	switch {
	case h.Malformed:
		return Malformed
	case h.Method != "GET" && h.Method != "HEAD", h.ContentLength != 0, h.Chunked, h.Expects, h.Upgrades, h.Unrepeatable:
		return NotRepeatable
	case h.Major != 1 || h.Minor != 1:
		return NotRepeatable
	}
	return ""
}
