// Package link connects the processes of the system: one yamux session per
// pair over TCP, and on its streams length-prefixed protobuf messages or HTTP.
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

// maxMessage bounds one message; a snapshot of the largest tree fits.
const maxMessage = 64 << 20

// mostWritten is how much of a message is written to its stream at once, in
// bytes: 33 ms on a link of 4 Mbit/s. What else travels on the connection waits
// behind so much of each stream, the reader sees a message grow by it, and it
// must be written within writeTimeout, which 64 kbit/s are enough for.
const mostWritten = 16 << 10

const (
	// readBuffer holds most messages of calls whole. Longer ones are read past it.
	readBuffer = 512
	// pooledWrite is the longest message whose buffer is kept for the next one, in
	// bytes: those of calls and most updates.
	pooledWrite = 4 << 10
)

// writeBuffers are those of messages that were written: an entry box makes tens of calls a
// second, and its collector stops it for tens of milliseconds each time where it has a small
// part of a core.
var writeBuffers = sync.Pool{New: func() any { return new([]byte) }}

// Messages reads and writes protobuf messages on one stream. Write is safe for
// concurrent use, Read is not.
type Messages struct {
	stream io.ReadWriteCloser
	reader *bufio.Reader
	// writing holds one token while a message is written.
	writing chan struct{}
	// failed is the first failure to write: after a part of a message nothing
	// that follows could be read.
	failed error
	// arriving counts the bytes that have come since the last whole message.
	arriving *atomic.Uint64
}

// NewMessages returns the messages of a stream.
func NewMessages(stream io.ReadWriteCloser) *Messages {
	arriving := &atomic.Uint64{}
	return &Messages{
		stream:   stream,
		reader:   bufio.NewReaderSize(&arrivals{stream, arriving}, readBuffer),
		writing:  make(chan struct{}, 1),
		arriving: arriving,
	}
}

// arrivals counts what is read.
type arrivals struct {
	io.Reader
	bytes *atomic.Uint64
}

// Read implements io.Reader.
func (a *arrivals) Read(b []byte) (int, error) {
	n, err := a.Reader.Read(b)
	a.bytes.Add(uint64(n))
	return n, err
}

// parts hands what is written on in parts of at most mostWritten.
type parts struct{ io.Writer }

// Write implements io.Writer.
func (p parts) Write(b []byte) (written int, err error) {
	for written < len(b) {
		n, err := p.Writer.Write(b[written:min(written+mostWritten, len(b))])
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// PartialBytes returns how many bytes of the next message have come so far; zero
// if none is on its way. It is safe for concurrent use.
func (m *Messages) PartialBytes() uint64 { return m.arriving.Load() }

// Read reads the next message.
func (m *Messages) Read(into proto.Message) error {
	if err := (protodelim.UnmarshalOptions{MaxSize: maxMessage}).UnmarshalFrom(m.reader, into); err != nil {
		return fmt.Errorf("reading a message: %w", err)
	}
	m.arriving.Store(0)
	return nil
}

// Write writes one message.
func (m *Messages) Write(message proto.Message) error {
	m.writing <- struct{}{}
	defer func() { <-m.writing }()
	if m.failed == nil {
		m.failed = m.write(message)
	}
	return m.failed
}

func (m *Messages) write(message proto.Message) error {
	buffer := writeBuffers.Get().(*[]byte)
	defer func() {
		if cap(*buffer) <= pooledWrite {
			writeBuffers.Put(buffer)
		}
	}()
	data := binary.AppendUvarint((*buffer)[:0], uint64(proto.Size(message)))
	data, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(data, message)
	if err != nil {
		return fmt.Errorf("writing a message: %w", err)
	}
	*buffer = data
	if _, err := (parts{m.stream}).Write(data); err != nil {
		return fmt.Errorf("writing a message: %w", err)
	}
	return nil
}

// Close ends the stream; a Read that waits returns.
func (m *Messages) Close() error { return m.stream.Close() }
