package tunnel

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"
)

// resetRounds is how often a connection is reset: whether a read or a write gets the error differs.
const resetRounds = 100

// tcpTarget makes a peer connect to a target over TCP, whose end the target gets.
func tcpTarget(t *testing.T, p *pair) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	p.server.config.Connect = func(ctx context.Context, _ string) (net.Conn, error) {
		near, err := (&net.Dialer{}).DialContext(ctx, "tcp4", l.Addr().String())
		if err != nil {
			return nil, err
		}
		far, err := l.Accept()
		p.targets <- far
		return near, err
	}
}

// uploadTo sends an upload through a tunnel to a target and returns what it responds.
func uploadTo(t *testing.T, p *pair, respond func(target *net.TCPConn)) ([]byte, error) {
	t.Helper()
	box, target := p.open(t)
	<-p.peerConns
	defer box.Close()
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		for range 100 {
			if _, err := box.Write(make([]byte, 4000)); err != nil {
				return
			}
		}
	}()
	ended := make(chan struct{})
	go func() { defer close(ended); respond(target.(*net.TCPConn)) }()
	data, err := io.ReadAll(box)
	_ = box.Close()
	<-sent
	<-ended
	return data, err
}

// Guards against a response that is reset while its request is still being sent, and that reaches the
// box as a complete one.
func TestResetDuringUploadIsNoSoundEnd(t *testing.T) {
	p := newPair(t, 4)
	tcpTarget(t, p)
	for n := range resetRounds {
		data, err := uploadTo(t, p, func(target *net.TCPConn) {
			_, _ = target.Write([]byte("abc"))
			_ = target.SetLinger(0)
			_ = target.Close()
		})
		if err == nil {
			t.Fatalf("round %d: %q ended soundly", n, data)
		}
	}
}

// Guards against the loss of a response that a target has ended before it has read the whole request.
func TestSoundEndDuringUploadReachesBox(t *testing.T) {
	p := newPair(t, 4)
	tcpTarget(t, p)
	whole := bytes.Repeat([]byte("x"), 100_000)
	for n := range resetRounds {
		data, err := uploadTo(t, p, func(target *net.TCPConn) {
			_, _ = target.Write(whole)
			_ = target.CloseWrite()
			_, _ = io.Copy(io.Discard, target)
			_ = target.Close()
		})
		if err != nil || !bytes.Equal(data, whole) {
			t.Fatalf("round %d: %d of %d bytes, %v", n, len(data), len(whole), err)
		}
	}
}
