package gateway

import (
	"bytes"
	"fmt"
	"io"
	"sync"
)

// maxResponseHead bounds the status lines and headers of one response, interim ones included. Without
// it a target that writes a header without end takes all memory of the box.
const maxResponseHead = 64 << 10

// headTooLongError says that a target sent a response head, or interim responses, of more than Limit
// bytes. NoMemory tells that the limit was lower than maxResponseHead, because all memory for buffers
// was taken.
type headTooLongError struct {
	Limit    int
	NoMemory bool
}

// Error implements error.
func (e *headTooLongError) Error() string {
	text := fmt.Sprintf("the head of the response is longer than %d bytes", e.Limit)
	if e.NoMemory {
		text += ", and all memory for buffers is taken"
	}
	return text
}

// headReader reads from a connection. While a response head is expected it keeps what it reads, and
// fails after maxResponseHead bytes. One goroutine at a time uses it.
type headReader struct {
	source io.Reader
	inHead bool
	read   int
	// kept are the bytes of the heads, and those read behind them; the next head begins at start. It is
	// nil while no head is expected.
	kept  *[]byte
	start int
	// memory is what a long head takes.
	memory bufferMemory
}

var keptHeads = sync.Pool{New: func() any { b := make([]byte, 0, readBuffer); return &b }}

// begin starts to keep what is read: a response head is expected, which begins with bytes that have
// been read already.
func (h *headReader) begin(buffered []byte) {
	h.inHead, h.read, h.start = true, 0, 0
	h.kept = keptHeads.Get().(*[]byte)
	*h.kept = append((*h.kept)[:0], buffered...)
}

// next returns the head that has been read. What was read behind it belongs to the next one.
func (h *headReader) next() []byte {
	left := (*h.kept)[h.start:]
	head := left[:headLength(left)]
	h.start += len(head)
	return head
}

// headLength returns the length of the head with which a text begins: up to an empty line.
func headLength(text []byte) int {
	for n := 0; n < len(text); {
		line := bytes.IndexByte(text[n:], '\n') + 1
		if line == 0 {
			break
		}
		n += line
		if bytes.HasPrefix(text[n:], []byte("\r\n")) {
			return n + len("\r\n")
		}
		if bytes.HasPrefix(text[n:], []byte("\n")) {
			return n + len("\n")
		}
	}
	return len(text)
}

// end stops keeping: the last head has been read. What next returned is no longer valid.
func (h *headReader) end() {
	h.inHead = false
	h.memory.release()
	if cap(*h.kept) <= maxKeptCapacity {
		keptHeads.Put(h.kept)
	}
	h.kept = nil
}

// maxKeptCapacity is the capacity, in bytes, up to which buffers of heads are used again.
const maxKeptCapacity = 2 * readBuffer

// Read implements io.Reader.
func (h *headReader) Read(p []byte) (int, error) {
	if h.inHead && h.read >= maxResponseHead {
		return 0, &headTooLongError{Limit: maxResponseHead}
	}
	if h.inHead && h.read > unreservedHead && !h.memory.grow(headCopies*h.read, 0) {
		return 0, &headTooLongError{Limit: h.read, NoMemory: true}
	}
	n, err := h.source.Read(p)
	h.read += n
	if h.inHead {
		*h.kept = append(*h.kept, p[:n]...)
	}
	return n, err
}
