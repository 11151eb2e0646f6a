package gateway

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"ledgesill.dev/ledgesill/pkg/pipelining"
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
	length int64
	// memory is what data takes.
	memory bufferMemory
	// upload is the only reader of rest; nil before the request is sent.
	upload *upload
}

// readBody reads the body of a request, or its beginning. release must follow.
func readBody(r *http.Request, limit *pipelining.Budget) (*requestBody, error) {
	if r.ContentLength == 0 && len(r.TransferEncoding) == 0 {
		return &requestBody{}, nil
	}
	b := &requestBody{memory: bufferMemory{limit: limit}}
	data, more, err := readUpTo(r.Body, r.ContentLength, maxBufferedBody, func() bool { return false }, &b.memory)
	if err != nil {
		b.memory.release()
		return nil, errors.Wrap(err, "reading the request body")
	}
	b.data, b.length = data, int64(len(data))
	if more {
		b.rest, b.length = r.Body, r.ContentLength
	}
	return b, nil
}

// release gives back the memory of the body. A nil body has none.
func (b *requestBody) release() {
	if b != nil {
		b.memory.release()
	}
}

// repeatable reports whether the body can be sent to another target.
func (b *requestBody) repeatable() bool { return b.rest == nil || b.upload == nil }

// isBuffered reports whether the body can be sent to several targets at once.
func (b *requestBody) isBuffered() bool { return b.rest == nil }

// send writes the head and the body. The part of a long body beyond data is written concurrently,
// because the response may arrive before the body has been sent.
func (b *requestBody) send(c *connection, head []byte) *upload {
	if b.length >= 0 {
		head = append(head, b.data...)
	}
	if _, err := c.Write(head); err != nil {
		return endedUpload(errors.Wrap(err, "sending the request"))
	}
	if b.rest == nil {
		return endedUpload(nil)
	}
	b.upload = startUpload(b, c)
	return b.upload
}

// finish waits until the body has been read to its end, and returns an error if it can't be. If the
// request was not sent, the rest is discarded.
func (b *requestBody) finish() error {
	if b.rest == nil {
		return nil
	}
	if b.upload == nil {
		_, err := io.Copy(io.Discard, b.rest)
		return err
	}
	<-b.upload.read
	return b.upload.readErr
}
