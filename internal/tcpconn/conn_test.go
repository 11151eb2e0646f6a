package tcpconn

import (
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// pair returns the two ends of a TCP connection, the first wrapped.
func pair(t *testing.T) (near net.Conn, far *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	dialed, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = errors.Join(dialed.Close(), accepted.Close()) })
	return Wrap(dialed), accepted.(*net.TCPConn)
}

// awaitReset waits until the reset of the peer has arrived, without taking its error.
func awaitReset(t *testing.T, c net.Conn) {
	t.Helper()
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var state byte
	for state != closedState {
		err := raw.Control(func(fd uintptr) {
			info, getErr := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO)
			state, err = byte(info), getErr
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}

// closedState is TCP_CLOSE of the kernel.
const closedState = 7

// Guards against a response that is reset while an upload goes on and looks complete, as the write got
// the error and the read the end.
func TestResetSeenByWriteIsNoEnd(t *testing.T) {
	near, far := pair(t)
	if _, err := far.Write([]byte("part")); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(near, make([]byte, 4)); err != nil {
		t.Fatal(err)
	}
	_ = far.SetLinger(0)
	_ = far.Close()
	awaitReset(t, near)
	if _, err := near.Write([]byte("upload")); !errors.Is(err, syscall.ECONNRESET) {
		t.Fatalf("the write ended with %v", err)
	}
	for range 2 {
		var reset *ResetError
		if _, err := near.Read(make([]byte, 1)); !errors.As(err, &reset) {
			t.Errorf("the read ended with %v, want a ResetError", err)
		}
	}
}

// A peer that has ended its data soundly and then resets, because it doesn't read the upload, has sent
// all of its response.
func TestResetBehindSoundEnd(t *testing.T) {
	near, far := pair(t)
	if _, err := far.Write([]byte("whole")); err != nil {
		t.Fatal(err)
	}
	_ = far.CloseWrite()
	data := make([]byte, 5)
	if _, err := io.ReadFull(near, data); err != nil {
		t.Fatal(err)
	}
	_ = far.SetLinger(0)
	_ = far.Close()
	awaitReset(t, near)
	if _, err := near.Write([]byte("upload")); !errors.Is(err, syscall.EPIPE) {
		t.Fatalf("the write ended with %v", err)
	}
	for range 2 {
		if _, err := near.Read(data); err != io.EOF {
			t.Errorf("the read ended with %v", err)
		}
	}
}

// An upload goes on behind the sound end of a response, although a write waits for the peer at that
// moment.
func TestUploadGoesOnBehindEnd(t *testing.T) {
	near, far := pair(t)
	upload := strings.Repeat("x", 16<<20)
	sent := make(chan error, 1)
	go func() { _, err := io.WriteString(near, upload); sent <- err }()
	_ = far.CloseWrite()
	if _, err := near.Read(make([]byte, 1)); err != io.EOF {
		t.Fatalf("the read ended with %v", err)
	}
	n, err := io.Copy(io.Discard, io.LimitReader(far, int64(len(upload))))
	if err != nil || n != int64(len(upload)) {
		t.Errorf("the peer got %d bytes, %v", n, err)
	}
	if err := <-sent; err != nil {
		t.Errorf("the upload ended with %v", err)
	}
}

func TestDeadlineOfUserEndsWrite(t *testing.T) {
	near, far := pair(t)
	sent := make(chan error, 1)
	go func() { _, err := near.Write(make([]byte, 16<<20)); sent <- err }()
	_ = far.CloseWrite()
	if _, err := near.Read(make([]byte, 1)); err != io.EOF {
		t.Fatalf("the read ended with %v", err)
	}
	_ = near.SetDeadline(time.Unix(1, 0))
	if err := <-sent; !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the upload ended with %v", err)
	}
}
