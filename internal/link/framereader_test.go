package link

import (
	"encoding/binary"
	"errors"
	"io"
	"net"
	"slices"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/hashicorp/yamux"

	"ledgesill.dev/ledgesill/pkg/wire"
)

// frame returns a data frame.
func frame(data []byte) []byte {
	header := make([]byte, frameHeaderBytes)
	binary.BigEndian.PutUint32(header[frameHeaderBytes-4:], uint32(len(data)))
	return append(header, data...)
}

// Guards against a reader that waits beyond its deadline while the connection stalls within a frame
// of its stream. Virtual time would not advance then, and the test would hang.
func TestReadDeadlineHoldsWhileFrameIsIncomplete(t *testing.T) {
	withNodes(t, func(t *testing.T, caller *Node, last func() *faultyConn) {
		m, err := caller.Subscribe(t.Context(), "server", &wire.Subscribe{})
		if err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		last().stallInFrame.Store(true)
		if err := m.Write(&wire.Subscribe{}); err != nil { // the server answers by two frames
			t.Fatal(err)
		}
		synctest.Wait() // the connection has stalled within the second frame
		began := time.Now()
		if err := m.stream.(net.Conn).SetReadDeadline(began.Add(300 * time.Millisecond)); err != nil {
			t.Fatal(err)
		}
		ended := make(chan error, 1)
		go func() { ended <- m.Read(&wire.Update{}) }()
		if err := <-ended; !errors.Is(err, yamux.ErrTimeout) {
			t.Errorf("got error %v, want that of the deadline", err)
		}
		if took := time.Since(began); took != 300*time.Millisecond {
			t.Errorf("the reader was released after %s, want 300ms", took)
		}
		_ = m.Close()
	})
}

// pieces is a connection whose reads return prepared pieces.
type pieces struct {
	io.Reader
	net.Conn
}

func (p pieces) Read(b []byte) (int, error) { return p.Reader.Read(b) }

// Guards against bytes that are lost, changed or passed on before their frame is whole.
func TestFrameReaderPassesOnWholeFrames(t *testing.T) {
	sent := slices.Concat(frame([]byte("one")), frame(nil), frame(make([]byte, 3*frameBuffer)), frame([]byte("last")))
	for name, reader := range map[string]func(io.Reader) io.Reader{"one byte": iotest.OneByteReader, "half": iotest.HalfReader, "data and error": iotest.DataErrReader} {
		near, far := io.Pipe()
		go func() {
			_, _ = far.Write(sent)
			_ = far.Close() // always nil
		}()
		got, err := io.ReadAll(&frameReader{Conn: pieces{Reader: reader(near)}})
		if err != nil || !slices.Equal(got, sent) {
			t.Errorf("%s: %d of %d bytes, error %v", name, len(got), len(sent), err)
		}
	}
}

// Guards against a buffer of any size that a peer asks for.
func TestFrameReaderRejectsFrameAboveWindow(t *testing.T) {
	header := frame(nil)
	binary.BigEndian.PutUint32(header[frameHeaderBytes-4:], maxFrameBytes+1)
	near, far := io.Pipe()
	go func() { _, _ = far.Write(header) }()
	_, err := (&frameReader{Conn: pieces{Reader: near}}).Read(make([]byte, 1))
	var tooLarge *frameTooLargeError
	if !errors.As(err, &tooLarge) {
		t.Errorf("got error %v", err)
	}
}
