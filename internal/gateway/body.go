package gateway

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// wholeBody is the largest body of a request that is read to its end before a
// target gets any of it, so that another target can get it too.
const wholeBody = 64 << 10

// requestBody is the body of a caller's request.
type requestBody struct {
	// data is the whole body, or its beginning if rest is not nil.
	data []byte
	rest io.Reader
	// length is that of the whole body; below zero if it is not known.
	length int64
	taken  bool
}

// readBody reads the body of a request, at least its beginning.
func readBody(r *http.Request) (*requestBody, error) {
	if r.ContentLength == 0 && len(r.TransferEncoding) == 0 {
		return &requestBody{}, nil
	}
	data, more, err := readUpTo(r.Body, r.ContentLength, wholeBody, func() bool { return false })
	if err != nil {
		return nil, errors.Wrap(err, "reading the request's body")
	}
	if more {
		return &requestBody{data: data, rest: r.Body, length: r.ContentLength}, nil
	}
	return &requestBody{data: data, length: int64(len(data))}, nil
}

// repeatable reports whether the body can be sent to another target.
func (b *requestBody) repeatable() bool { return b.rest == nil || !b.taken }

// whole reports whether the body can be sent to several targets at once.
func (b *requestBody) whole() bool { return b.rest == nil }

// sending is a request on its way to a target.
type sending struct {
	ended atomic.Bool
	err   atomic.Pointer[error]
}

func (s *sending) done() bool { return s.ended.Load() && s.err.Load() == nil }

func (s *sending) failure() error {
	if err := s.err.Load(); err != nil {
		return *err
	}
	return nil
}

func (s *sending) end(err error) {
	if err != nil {
		s.err.Store(&err)
	}
	s.ended.Store(true)
}

// send writes a head and the body. What goes on after the beginning of a long
// body is written beside the reading of the answer, which may come early.
func (b *requestBody) send(c *connection, head []byte) *sending {
	s := &sending{}
	if b.length >= 0 {
		head = append(head, b.data...)
	}
	if _, err := c.Write(head); err != nil {
		s.end(errors.Wrap(err, "sending the request"))
		return s
	}
	if b.rest == nil {
		s.end(nil)
		return s
	}
	b.taken = true
	go func() { s.end(b.sendRest(c)) }() // ends with the connection, which the attempt closes
	return s
}

func (b *requestBody) sendRest(c *connection) error {
	if b.length >= 0 {
		n, err := io.Copy(c, b.rest)
		if err == nil && n+int64(len(b.data)) != b.length {
			err = io.ErrUnexpectedEOF
		}
		return breakOff(c, err)
	}
	if err := writeChunk(c, b.data); err != nil {
		return err
	}
	buffer := make([]byte, 16<<10)
	for {
		n, err := b.rest.Read(buffer)
		if n > 0 {
			if err := writeChunk(c, buffer[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			_, err := io.WriteString(c, "0\r\n\r\n")
			return err
		}
		if err != nil {
			return breakOff(c, err)
		}
	}
}

func writeChunk(c *connection, data []byte) error {
	if len(data) == 0 {
		return nil
	}
	_, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(data), data)
	return err
}

// breakOff closes the connection of a body that its caller did not finish, so
// that the target does not take it for whole.
func breakOff(c *connection, err error) error {
	if err != nil {
		_ = c.Close()
	}
	return err
}
