package gateway

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// maxBufferedBody bounds the request bodies that are read completely before any of it is sent to a
// target, so that another target can get the same body.
const maxBufferedBody = 64 << 10

// requestBody is the body of a caller's request.
type requestBody struct {
	// data is the whole body, or its beginning if rest is not nil.
	data []byte
	rest io.Reader
	// length is the length of the whole body; below zero if unknown.
	length       int64
	restConsumed bool
}

// readBody reads the body of a request, or its beginning.
func readBody(r *http.Request) (*requestBody, error) {
	if r.ContentLength == 0 && len(r.TransferEncoding) == 0 {
		return &requestBody{}, nil
	}
	data, more, err := readUpTo(r.Body, r.ContentLength, maxBufferedBody, func() bool { return false })
	if err != nil {
		return nil, errors.Wrap(err, "reading the request body")
	}
	if more {
		return &requestBody{data: data, rest: r.Body, length: r.ContentLength}, nil
	}
	return &requestBody{data: data, length: int64(len(data))}, nil
}

// repeatable reports whether the body can be sent to another target.
func (b *requestBody) repeatable() bool { return b.rest == nil || !b.restConsumed }

// isBuffered reports whether the body can be sent to several targets at once.
func (b *requestBody) isBuffered() bool { return b.rest == nil }

// upload is the sending of one request to a target.
type upload struct {
	ended atomic.Bool
	err   atomic.Pointer[error]
}

func (s *upload) succeeded() bool { return s.ended.Load() && s.err.Load() == nil }

func (s *upload) failure() error {
	if err := s.err.Load(); err != nil {
		return *err
	}
	return nil
}

func (s *upload) end(err error) {
	if err != nil {
		s.err.Store(&err)
	}
	s.ended.Store(true)
}

// send writes the head and the body. The part of a long body beyond data is written concurrently,
// because the response may arrive before the body has been sent.
func (b *requestBody) send(c *connection, head []byte) *upload {
	s := &upload{}
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
	b.restConsumed = true
	go func() { s.end(b.sendRest(c)) }() // ends with the connection, which the attempt closes
	return s
}

// sendRest streams the body, in chunks if its length is unknown.
func (b *requestBody) sendRest(c *connection) error {
	if b.length >= 0 {
		n, err := io.Copy(c, b.rest)
		if err == nil && n+int64(len(b.data)) != b.length {
			err = io.ErrUnexpectedEOF
		}
		return closeOnError(c, err)
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
			return closeOnError(c, err)
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

// closeOnError closes the connection if the caller did not send its whole body, so that the target
// does not take the truncated body for a complete one.
func closeOnError(c *connection, err error) error {
	if err != nil {
		_ = c.Close()
	}
	return err
}
