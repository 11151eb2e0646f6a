// Package link connects the processes of the system: one yamux session per pair
// of processes over TCP, whose streams carry length-prefixed protobuf messages
// or HTTP.
package link

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

// maxMessageBytes bounds one message; a snapshot of the largest tree fits.
const maxMessageBytes = 64 << 20

// maxWriteBytes is how much of a message is written to its stream at once: 33 ms
// on a link of 4 Mbit/s. It is what the other streams of the connection wait
// for, the step in which the reader sees a message grow, and what must be
// written within writeTimeout, for which 64 kbit/s suffice.
const maxWriteBytes = 16 << 10

const (
	// readBuffer holds most messages of calls whole. Longer ones bypass it.
	readBuffer = 512
	// maxPooledBuffer is the largest write buffer that is reused: it holds the
	// messages of calls and most updates.
	maxPooledBuffer = 4 << 10
)

// writeBuffers reuses write buffers to reduce garbage: an entry box makes tens of calls a
// second, and where it has a small part of a core each garbage collection stops it for tens
// of milliseconds.
var writeBuffers = sync.Pool{New: func() any { return new([]byte) }}

// Messages reads and writes protobuf messages on one stream. Write is safe for
// concurrent use, Read is not.
type Messages struct {
	stream io.ReadWriteCloser
	reader *bufio.Reader
	// writeLock holds a token while a message is written.
	writeLock chan struct{}
	// writeErr is the first write error. Nothing is written after it: the reader
	// could not decode what follows a partial message.
	writeErr error
	// partialBytes counts the bytes received since the last complete message.
	partialBytes *atomic.Uint64
}

// NewMessages returns a reader and writer of the messages on a stream.
func NewMessages(stream io.ReadWriteCloser) *Messages {
	arriving := &atomic.Uint64{}
	return &Messages{
		stream:       stream,
		reader:       bufio.NewReaderSize(&countingReader{stream, arriving}, readBuffer),
		writeLock:    make(chan struct{}, 1),
		partialBytes: arriving,
	}
}

// countingReader counts the bytes that are read.
type countingReader struct {
	io.Reader
	count *atomic.Uint64
}

// Read implements io.Reader.
func (a *countingReader) Read(b []byte) (int, error) {
	n, err := a.Reader.Read(b)
	a.count.Add(uint64(n))
	return n, err
}

// chunkedWriter writes in chunks of at most maxWriteBytes.
type chunkedWriter struct{ io.Writer }

// Write implements io.Writer.
func (p chunkedWriter) Write(b []byte) (written int, err error) {
	for written < len(b) {
		n, err := p.Writer.Write(b[written:min(written+maxWriteBytes, len(b))])
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// PartialBytes returns how many bytes of the next message have been received. It
// is safe for concurrent use.
func (m *Messages) PartialBytes() uint64 { return m.partialBytes.Load() }

// Read reads the next message.
func (m *Messages) Read(into proto.Message) error {
	if err := (protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}).UnmarshalFrom(m.reader, into); err != nil {
		return fmt.Errorf("reading a message: %w", err)
	}
	m.partialBytes.Store(0)
	return nil
}

// Write writes one message.
func (m *Messages) Write(message proto.Message) error {
	m.writeLock <- struct{}{}
	defer func() { <-m.writeLock }()
	if m.writeErr == nil {
		m.writeErr = m.write(message)
	}
	return m.writeErr
}

func (m *Messages) write(message proto.Message) error {
	buffer := writeBuffers.Get().(*[]byte)
	defer func() {
		if cap(*buffer) <= maxPooledBuffer {
			writeBuffers.Put(buffer)
		}
	}()
	data := binary.AppendUvarint((*buffer)[:0], uint64(proto.Size(message)))
	data, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(data, message)
	if err != nil {
		return fmt.Errorf("writing a message: %w", err)
	}
	*buffer = data
	if _, err := (chunkedWriter{m.stream}).Write(data); err != nil {
		return fmt.Errorf("writing a message: %w", err)
	}
	return nil
}

// Close closes the stream; a blocked Read returns.
func (m *Messages) Close() error { return m.stream.Close() }
