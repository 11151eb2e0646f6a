package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// hopByHopHeaders apply to one connection only and are not forwarded.
var hopByHopHeaders = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Connection":    true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Expect":              true,
}

// isForwarded reports whether a header is forwarded. listed are the names in the Connection header.
func isForwarded(name string, listed []string) bool {
	if hopByHopHeaders[name] {
		return false
	}
	for _, l := range listed {
		if strings.EqualFold(l, name) {
			return false
		}
	}
	return true
}

// connectionOptions returns the header names that the Connection header lists.
func connectionOptions(h http.Header) []string {
	var out []string
	for _, line := range h["Connection"] {
		for _, name := range strings.Split(line, ",") {
			out = append(out, strings.TrimSpace(name))
		}
	}
	return out
}

// targetHeaders are the headers that the box sets in a request to a target.
type targetHeaders struct {
	// target is the id of the target that the request is meant for.
	target string
	// workspace is the name of the request's workspace; empty for none.
	workspace string
	// timeout is how long the sender waits for the response.
	timeout time.Duration
	// bodyLength is the length of the body; below zero for a chunked body.
	bodyLength int64
}

// requestHead returns the request line and headers that are sent to a target.
func (p Protocol) requestHead(r *http.Request, headers targetHeaders) []byte {
	const typicalHead = 512
	out := make([]byte, 0, typicalHead)
	out = append(out, r.Method...)
	out = append(out, ' ')
	out = append(out, r.RequestURI...)
	out = append(out, " HTTP/1.1\r\n"...)
	out = appendLine(out, "Host", r.Host)
	listed := connectionOptions(r.Header)
	for name, values := range r.Header {
		if !isForwarded(name, listed) || name == "Content-Length" || p.isReserved(name) {
			continue
		}
		for _, v := range values {
			out = appendLine(out, name, v)
		}
	}
	out = appendLine(out, p.Deadline, strconv.FormatInt(max(headers.timeout.Milliseconds(), 1), 10))
	out = appendLine(out, p.ExpectTarget, headers.target)
	if headers.workspace != "" {
		out = appendLine(out, p.Workspace, headers.workspace)
	}
	switch {
	case headers.bodyLength < 0:
		out = appendLine(out, "Transfer-Encoding", "chunked")
	case headers.bodyLength > 0 || r.Header.Get("Content-Length") != "" || len(r.TransferEncoding) > 0:
		out = appendLine(out, "Content-Length", strconv.FormatInt(headers.bodyLength, 10))
	}
	return append(out, "\r\n"...)
}

// isReserved reports whether a header is set by the box alone, or is the workspace key, which only
// the box may see. A caller's value is not forwarded.
func (p Protocol) isReserved(name string) bool {
	return strings.EqualFold(name, p.Deadline) || strings.EqualFold(name, p.ExpectTarget) ||
		strings.EqualFold(name, p.Workspace) || strings.EqualFold(name, p.WorkspaceKey)
}

func appendLine(out []byte, name, value string) []byte {
	out = append(out, name...)
	out = append(out, ": "...)
	out = append(out, value...)
	return append(out, "\r\n"...)
}
