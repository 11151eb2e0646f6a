package link

import (
	"encoding/binary"
	"fmt"
	"net"
)

const (
	// frameHeaderBytes is the length of a yamux frame header. Its second byte is the type of the
	// frame; its last four bytes are the length of the data that follows a header of type dataFrame.
	frameHeaderBytes = 12
	dataFrame        = 0
	// maxFrameBytes bounds the data of a frame, in bytes: the receive window of a yamux stream.
	maxFrameBytes = 256 << 10
	// frameBuffer is the initial size of the buffer, in bytes; it holds most messages of calls. A
	// larger one is released once it is empty.
	frameBuffer = 1 << 10
)

// frameTooLargeError says that a peer announced a frame larger than the receive window.
type frameTooLargeError struct{ bytes uint32 }

// Error implements error.
func (e *frameTooLargeError) Error() string {
	return fmt.Sprintf("frame of %d bytes exceeds the window of %d bytes", e.bytes, maxFrameBytes)
}

// frameReader passes on yamux frames only once they have arrived whole. yamux locks a stream while
// it reads the data of a frame, so if the connection stalled within one, a reader of that stream
// would wait for the lock beyond its deadline.
type frameReader struct {
	net.Conn
	// buffer holds what has arrived; what stands before start was passed on. The whole bytes from
	// start on are the rest of a frame that has arrived whole.
	buffer []byte
	start  int
	whole  int
}

// Read implements net.Conn.
func (r *frameReader) Read(b []byte) (int, error) {
	for r.whole == 0 {
		if err := r.receive(); err != nil {
			return 0, err
		}
	}
	n := copy(b, r.buffer[r.start:r.start+r.whole])
	r.start += n
	r.whole -= n
	if r.start == len(r.buffer) {
		r.reset()
	}
	return n, nil
}

// reset empties the buffer, and releases one that has grown.
func (r *frameReader) reset() {
	r.buffer, r.start = r.buffer[:0], 0
	if cap(r.buffer) > frameBuffer {
		r.buffer = nil
	}
}

// receive makes the next frame whole, reading from the connection if it has not arrived yet.
func (r *frameReader) receive() error {
	missing, err := r.missingBytes()
	if err != nil {
		return err
	}
	if missing == 0 {
		return nil
	}
	r.makeRoom(missing)
	n, err := r.Conn.Read(r.buffer[len(r.buffer):cap(r.buffer)])
	r.buffer = r.buffer[:len(r.buffer)+n]
	if n > 0 {
		return nil // an error is returned again by the next read
	}
	return err
}

// missingBytes returns how many bytes of the next frame, as far as it is known, have not arrived.
// If none are missing, the frame is whole.
func (r *frameReader) missingBytes() (int, error) {
	next := r.buffer[r.start:]
	if len(next) < frameHeaderBytes {
		return frameHeaderBytes - len(next), nil
	}
	length := frameHeaderBytes
	if next[1] == dataFrame {
		data := binary.BigEndian.Uint32(next[frameHeaderBytes-4:])
		if data > maxFrameBytes {
			return 0, &frameTooLargeError{data}
		}
		length += int(data)
	}
	if len(next) < length {
		return length - len(next), nil
	}
	r.whole = length
	return 0, nil
}

// makeRoom makes room for at least n more bytes, by dropping what was passed on and, if that is not
// enough, in a larger buffer.
func (r *frameReader) makeRoom(n int) {
	if cap(r.buffer)-len(r.buffer) >= n {
		return
	}
	next := r.buffer[r.start:]
	if cap(r.buffer)-len(next) < n {
		r.buffer = make([]byte, 0, max(len(next)+n, frameBuffer))
	}
	r.buffer, r.start = append(r.buffer[:0], next...), 0
}
