package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// hopHeaders concern one connection only and are not passed on.
var hopHeaders = map[string]bool{
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

// passedOn reports whether a header goes on to the other side.
func passedOn(name string, listed []string) bool {
	if hopHeaders[name] {
		return false
	}
	for _, l := range listed {
		if strings.EqualFold(l, name) {
			return false
		}
	}
	return true
}

// connectionOptions returns the header names that Connection lists.
func connectionOptions(h http.Header) []string {
	var out []string
	for _, line := range h["Connection"] {
		for _, name := range strings.Split(line, ",") {
			out = append(out, strings.TrimSpace(name))
		}
	}
	return out
}

// headWords are what the box tells a target in the head of a request.
type headWords struct {
	// target is the id of the one that the request is meant for.
	target string
	// workspace is whose request it is; empty for nobody's.
	workspace string
	// left is how long the sender will wait.
	left time.Duration
	// length is that of the body; below zero for one in chunks.
	length int64
}

// requestHead writes the head of a request as it goes to a target.
func (p Protocol) requestHead(r *http.Request, words headWords) []byte {
	const usualHead = 512
	out := make([]byte, 0, usualHead)
	out = append(out, r.Method...)
	out = append(out, ' ')
	out = append(out, r.RequestURI...)
	out = append(out, " HTTP/1.1\r\n"...)
	out = appendLine(out, "Host", r.Host)
	listed := connectionOptions(r.Header)
	for name, values := range r.Header {
		if !passedOn(name, listed) || name == "Content-Length" || p.isOwn(name) {
			continue
		}
		for _, v := range values {
			out = appendLine(out, name, v)
		}
	}
	out = appendLine(out, p.Deadline, strconv.FormatInt(max(words.left.Milliseconds(), 1), 10))
	out = appendLine(out, p.ExpectTarget, words.target)
	if words.workspace != "" {
		out = appendLine(out, p.Workspace, words.workspace)
	}
	switch {
	case words.length < 0:
		out = appendLine(out, "Transfer-Encoding", "chunked")
	case words.length > 0 || r.Header.Get("Content-Length") != "" || len(r.TransferEncoding) > 0:
		out = appendLine(out, "Content-Length", strconv.FormatInt(words.length, 10))
	}
	return append(out, "\r\n"...)
}

// isOwn tells the headers that the box sets itself, and the key, which is for the
// box only: a caller's word on them does not go on.
func (p Protocol) isOwn(name string) bool {
	return strings.EqualFold(name, p.Deadline) || strings.EqualFold(name, p.ExpectTarget) ||
		strings.EqualFold(name, p.Workspace) || strings.EqualFold(name, p.WorkspaceKey)
}

func appendLine(out []byte, name, value string) []byte {
	out = append(out, name...)
	out = append(out, ": "...)
	out = append(out, value...)
	return append(out, "\r\n"...)
}
