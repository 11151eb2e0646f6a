// Package tunnel carries a connection of one entry box to a target through a peer, another entry
// box: the peer connects to the target and joins the two connections. It passes on bytes and
// decides nothing about requests. One TCP connection between the boxes carries one connection to a
// target, so that slow readers, resets and cancellations act as without the peer.
//
// A box sends a TunnelRequest and gets a TunnelAnswer; then both sides send frames. Frames tell the
// end of the target's connection from the loss of the peer, which ends a TCP connection the same
// way: a response without a length that breaks off must not look complete.
package tunnel

import (
	"encoding/binary"
	"fmt"
	"io"
	"time"
)

// frameKind is the first byte of a frame.
type frameKind byte

const (
	// dataFrame carries bytes of the connection.
	dataFrame frameKind = iota + 1
	// endFrame tells that the target has closed its connection after all that was sent before.
	endFrame
	// resetFrame tells that the connection to the target broke.
	resetFrame
	// backOffFrame tells for how long, in milliseconds, the target must get no requests from either
	// box: it counts by the box that connects to it.
	backOffFrame
	// drainFrame tells that the peer shuts down: after the request in flight the connection must
	// not be used again.
	drainFrame
)

const (
	// headerBytes is the length of a frame's header: its kind and the length of its payload.
	headerBytes = 4
	// maxPayload bounds the payload of a frame. It is also the size of a peer's buffer for each
	// direction of a tunnel.
	maxPayload = 8 << 10
	// backOffBytes is the length of the payload of a backOffFrame.
	backOffBytes = 4
)

// frameError describes an invalid frame.
type frameError struct {
	Kind   frameKind
	Length int
}

// Error implements error.
func (e *frameError) Error() string {
	return fmt.Sprintf("invalid frame of kind %d with %d bytes", e.Kind, e.Length)
}

func putHeader(header []byte, kind frameKind, length int) {
	binary.BigEndian.PutUint32(header, uint32(kind)<<24|uint32(length))
}

// readHeader reads the header of a frame. The end of the connection before a frame is
// io.ErrUnexpectedEOF, as each side tells an end in a frame.
func readHeader(r io.Reader) (frameKind, int, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, 0, noEOF(err)
	}
	value := binary.BigEndian.Uint32(header[:])
	kind, length := frameKind(value>>24), int(value&(1<<24-1))
	if !isValid(kind, length) {
		return 0, 0, &frameError{kind, length}
	}
	return kind, length, nil
}

func isValid(kind frameKind, length int) bool {
	switch kind {
	case dataFrame:
		return length > 0 && length <= maxPayload
	case backOffFrame:
		return length == backOffBytes
	case endFrame, resetFrame, drainFrame:
		return length == 0
	}
	return false
}

func noEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// encodeEmpty returns a frame without a payload.
func encodeEmpty(kind frameKind) []byte {
	out := make([]byte, headerBytes)
	putHeader(out, kind, 0)
	return out
}

// encodeBackOff returns a backOffFrame.
func encodeBackOff(wait time.Duration) []byte {
	out := make([]byte, headerBytes+backOffBytes)
	putHeader(out, backOffFrame, backOffBytes)
	binary.BigEndian.PutUint32(out[headerBytes:], uint32(min(wait.Milliseconds(), 1<<31)))
	return out
}

// readBackOff reads the payload of a backOffFrame.
func readBackOff(r io.Reader) (time.Duration, error) {
	var payload [backOffBytes]byte
	if _, err := io.ReadFull(r, payload[:]); err != nil {
		return 0, noEOF(err)
	}
	return time.Duration(binary.BigEndian.Uint32(payload[:])) * time.Millisecond, nil
}
