// Package link connects the processes of the system: one yamux session per
// pair over TCP, and on its streams length-prefixed protobuf messages or HTTP.
package link

import (
	"bufio"
	"fmt"
	"io"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

// maxMessage bounds one message; a snapshot of the largest tree fits.
const maxMessage = 64 << 20

// Messages reads and writes protobuf messages on one stream. Write is safe for
// concurrent use, Read is not.
type Messages struct {
	stream io.ReadWriteCloser
	reader *bufio.Reader
	// writing holds one token while a message is written.
	writing chan struct{}
}

// NewMessages returns the messages of a stream.
func NewMessages(stream io.ReadWriteCloser) *Messages {
	return &Messages{stream: stream, reader: bufio.NewReader(stream), writing: make(chan struct{}, 1)}
}

// Read reads the next message.
func (m *Messages) Read(into proto.Message) error {
	if err := (protodelim.UnmarshalOptions{MaxSize: maxMessage}).UnmarshalFrom(m.reader, into); err != nil {
		return fmt.Errorf("reading a message: %w", err)
	}
	return nil
}

// Write writes one message.
func (m *Messages) Write(message proto.Message) error {
	m.writing <- struct{}{}
	defer func() { <-m.writing }()
	w := bufio.NewWriter(m.stream)
	if _, err := protodelim.MarshalTo(w, message); err != nil {
		return fmt.Errorf("writing a message: %w", err)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("writing a message: %w", err)
	}
	return nil
}

// Close ends the stream; a Read that waits returns.
func (m *Messages) Close() error { return m.stream.Close() }
