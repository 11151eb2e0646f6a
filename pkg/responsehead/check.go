// Package responsehead decides what counts as the head of an HTTP/1 response. Package net/http takes
// more: statuses below 100, names with blanks, whose fields it ignores, and other versions.
package responsehead

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// minStatus is the lowest status code of HTTP.
const minStatus = 100

// InvalidError says why bytes are not the head of a response. The request may have run.
type InvalidError struct {
	Reason string
	// Field is the name of the field, as it was received; empty for the status line.
	Field string
	// Byte is the byte that must not be there, if HasByte is set.
	Byte    byte
	HasByte bool
}

// Error implements error.
func (e *InvalidError) Error() string {
	text := "invalid response head: " + e.Reason
	if e.HasByte {
		text += fmt.Sprintf(" with byte 0x%02x", e.Byte)
	}
	if e.Field != "" {
		text += fmt.Sprintf(" in field %.64q", e.Field)
	}
	return text
}

// Check checks a complete head, from its status line to the empty line. The error is an InvalidError.
func Check(head []byte) error {
	line, rest := cutLine(head)
	if err := checkStatusLine(line); err != nil {
		return err
	}
	isOld := bytes.HasPrefix(line, []byte("HTTP/1.0"))
	for first := true; len(rest) > 0; first = false {
		line, rest = cutLine(rest)
		if len(line) == 0 {
			return nil
		}
		if (line[0] == ' ' || line[0] == '\t') && !first {
			if err := checkValue("", string(line)); err != nil {
				return err
			}
			continue // goes on with the value before it
		}
		name, value, found := strings.Cut(string(line), ":")
		if !found {
			return &InvalidError{Reason: "line without a colon", Field: name}
		}
		if err := checkField(name, value); err != nil {
			return err
		}
		if isOld && strings.EqualFold(name, "Transfer-Encoding") {
			return &InvalidError{Reason: "HTTP/1.0 has no transfer encoding", Field: name}
		}
	}
	return &InvalidError{Reason: "no end"}
}

// CheckParsed checks a response that package net/http has read. It doesn't see what that has dropped:
// lines without a name, and the transfer encoding of HTTP/1.0. The error is an InvalidError.
func CheckParsed(r *http.Response) error {
	if r.ProtoMajor != 1 {
		return &InvalidError{Reason: "unknown version " + r.Proto}
	}
	if r.StatusCode < minStatus {
		return &InvalidError{Reason: fmt.Sprintf("status %03d", r.StatusCode)}
	}
	return CheckFields(r.Header)
}

// CheckFields checks parsed fields, also those behind a body in chunks. The error is an InvalidError.
func CheckFields(fields http.Header) error {
	for name, values := range fields {
		for _, value := range values {
			if err := checkField(name, value); err != nil {
				return err
			}
		}
	}
	return nil
}

// cutLine returns the first line without its end, and the bytes behind it.
func cutLine(text []byte) (line, rest []byte) {
	line, rest, _ = bytes.Cut(text, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r")), rest
}

// checkStatusLine checks the version and the status code.
func checkStatusLine(line []byte) error {
	version, status, _ := strings.Cut(string(line), " ")
	if version != "HTTP/1.1" && version != "HTTP/1.0" {
		return &InvalidError{Reason: fmt.Sprintf("unknown version %.16q", version)}
	}
	code, _, _ := strings.Cut(status, " ")
	if len(code) != 3 || code < "100" || strings.Trim(code, "0123456789") != "" {
		return &InvalidError{Reason: fmt.Sprintf("status %.16q", code)}
	}
	return nil
}

func checkField(name, value string) error {
	if name == "" {
		return &InvalidError{Reason: "line without a name"}
	}
	for i := range len(name) {
		if !httpguts.IsTokenRune(rune(name[i])) {
			return &InvalidError{Reason: "name", Field: name, Byte: name[i], HasByte: true}
		}
	}
	return checkValue(name, value)
}

// checkValue checks for bytes that end a line or a text elsewhere. Other control bytes are harmless.
func checkValue(name, value string) error {
	if i := strings.IndexAny(value, "\x00\r\n"); i >= 0 {
		return &InvalidError{Reason: "value", Field: name, Byte: value[i], HasByte: true}
	}
	return nil
}
