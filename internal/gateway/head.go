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

// requestHead writes the head of a request as it goes to a target. A length
// below zero stands for a body in chunks.
func (p Protocol) requestHead(r *http.Request, target string, left time.Duration, length int64) []byte {
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
	out = appendLine(out, p.Deadline, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	out = appendLine(out, p.ExpectTarget, target)
	switch {
	case length < 0:
		out = appendLine(out, "Transfer-Encoding", "chunked")
	case length > 0 || r.Header.Get("Content-Length") != "" || len(r.TransferEncoding) > 0:
		out = appendLine(out, "Content-Length", strconv.FormatInt(length, 10))
	}
	return append(out, "\r\n"...)
}

// isOwn tells the headers that the box sets itself.
func (p Protocol) isOwn(name string) bool {
	return strings.EqualFold(name, p.Deadline) || strings.EqualFold(name, p.ExpectTarget)
}

func appendLine(out []byte, name, value string) []byte {
	out = append(out, name...)
	out = append(out, ": "...)
	out = append(out, value...)
	return append(out, "\r\n"...)
}
