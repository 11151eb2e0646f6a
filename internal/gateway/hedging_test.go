package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// Guards against canceling an attempt at a target that takes longer than the hedge delay before
// another target has responded, or before another target is even known.
func TestSlowAttemptIsNotCanceled(t *testing.T) {
	t.Run("there is no other", waitsWithoutAlternative)
	t.Run("the body is long", waitsWithStreamedBody)
	t.Run("the box stops", waitsDuringShutdown)
	t.Run("no retries are left", waitsWithoutRetryBudget)
	t.Run("the second does not answer", firstTargetWins)
	t.Run("the second can't be reached", secondIsUnreachable)
	t.Run("the second registers later", secondRegistersLater)
	t.Run("neither responds", bothUnresponsive)
	t.Run("the first may have run it", rejectedAfterOverdue)
	t.Run("the first broke", rejectedAfterBroken)
	t.Run("the second fails", secondFails)
}

// A target that takes longer than the hedge delay is waited for if there is no other.
func waitsWithoutAlternative(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newRig(t, testConfig(), 1)
		s.scripts = scripts(s.responds(slowResponseTime, "first"))
		s.wantResponse(t, s.send(t.Context(), "/long/", ""), "first", slowResponseTime)
		s.wantAttempts(t, 1, 0)
	})
}

// A request whose body can be sent only once stays at its target.
func waitsWithStreamedBody(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newRig(t, testConfig(), 2)
		s.scripts = scripts(s.responds(slowResponseTime, "first"))
		s.wantResponse(t, s.send(t.Context(), "/long/", strings.Repeat("x", 2*maxBufferedBody)), "first", slowResponseTime)
		s.wantAttempts(t, 1, 0)
	})
}

// A target is waited for if the retry budget is exhausted.
func waitsWithoutRetryBudget(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		config := testConfig()
		config.RetryShare, config.RetryExtra = 0, 0
		s := newRig(t, config, 2)
		s.scripts = scripts(s.responds(slowResponseTime, "first"))
		s.wantResponse(t, s.send(t.Context(), "/long/", ""), "first", slowResponseTime)
		s.wantAttempts(t, 1, 0)
	})
}

// memoryListener accepts in-memory connections.
type memoryListener struct {
	net.Listener
	conns chan net.Conn
	ended chan struct{}
}

// Accept implements net.Listener.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.ended:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *memoryListener) Close() error {
	close(l.ended)
	return nil
}

// A box that is shutting down forwards the response of a slow target, also if it takes longer than
// the hedge delay.
func waitsDuringShutdown(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		config := testConfig()
		config.StopTime = 6 * time.Second
		s := newRig(t, config, 1)
		s.scripts = scripts(s.responds(4*time.Second, "first"))
		l := &memoryListener{Listener: s.daemon.callerServer.listener, conns: make(chan net.Conn), ended: make(chan struct{})}
		ended := make(chan error, 1)
		go func() { ended <- s.daemon.callerServer.server.Serve(l) }()
		near, far := net.Pipe()
		l.conns <- far
		stopped := make(chan struct{})
		go func() { defer close(stopped); s.daemon.shutdown() }()
		time.Sleep(time.Second) // the request arrives late in the shutdown
		began := time.Now()
		go func() {
			_, _ = io.WriteString(near, "GET /long/ HTTP/1.1\r\nHost: a.example\r\nTest-Id: id1\r\nTest-Deadline: 5000\r\n\r\n")
		}()
		data, err := io.ReadAll(near)
		if err != nil {
			t.Error(err)
		}
		if !strings.HasPrefix(string(data), "HTTP/1.1 200 OK\r\n") || !strings.HasSuffix(string(data), "\r\n\r\nfirst") {
			t.Errorf("got %q after %s", data, time.Since(began))
		}
		_ = near.Close()
		if err := <-ended; err != http.ErrServerClosed {
			t.Fatal(err)
		}
		<-stopped
		s.wantAttempts(t, 1, 0)
	})
}

// If the second target does anything but respond successfully, the response of the first one still
// counts.
func firstTargetWins(t *testing.T) {
	for name, second := range map[string]func(s *rig) script{
		"rejects":        func(s *rig) script { return s.rejects() },
		"breaks":         func(s *rig) script { return s.breaks(100 * time.Millisecond) },
		"fails":          func(s *rig) script { return s.respondsStatus(100*time.Millisecond, http.StatusInternalServerError) },
		"breaks at once": func(s *rig) script { return s.breaks(0) },
		"stays silent":   func(s *rig) script { return s.silent() },
		"takes its time": func(s *rig) script { return s.responds(slowResponseTime, "second") },
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				s := newRig(t, testConfig(), 3)
				s.scripts = scripts(s.responds(slowResponseTime, "first"), second(s))
				s.wantResponse(t, s.send(t.Context(), "/long/", "body"), "first", slowResponseTime)
				ended := 0
				if strings.HasPrefix(name, "stays") || strings.HasPrefix(name, "takes") {
					ended = 1
				}
				s.wantAttempts(t, 2, ended)
			})
		})
	}
}

// Of two targets the first response counts, and the other attempt is canceled.
func TestFirstResponseWins(t *testing.T) {
	for name, first := range map[string]func(s *rig) script{
		"slow":   func(s *rig) script { return s.responds(slowResponseTime, "first") },
		"silent": func(s *rig) script { return s.silent() },
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				s := newRig(t, testConfig(), 2)
				s.scripts = scripts(first(s), s.responds(100*time.Millisecond, "second"))
				s.wantResponse(t, s.send(t.Context(), "/long/", "body"), "second", hedgeDelay+100*time.Millisecond)
				s.wantAttempts(t, 2, 1)
			})
		})
	}
}

// A streamed response cancels the other attempt as soon as it begins, and is forwarded completely.
func TestStreamedResponseOfSecondTargetIsComplete(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		long := strings.Repeat("0123456789abcdef", maxBufferedResponse/4)
		s := newRig(t, testConfig(), 2)
		s.scripts = scripts(s.responds(slowResponseTime, "first"), s.responds(100*time.Millisecond, long))
		s.wantResponse(t, s.send(t.Context(), "/long/", ""), long, hedgeDelay+100*time.Millisecond)
		s.wantAttempts(t, 2, 1)
	})
}

// A second target that is unreachable does not end the attempt at the first.
func secondIsUnreachable(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newRig(t, testConfig(), 2)
		s.scripts = scripts(s.responds(slowResponseTime, "first"))
		dial := s.daemon.connections.dial
		var dials atomic.Int32
		s.daemon.connections.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			if dials.Add(1) > 1 {
				return nil, io.ErrClosedPipe
			}
			return dial(ctx, network, address)
		}
		s.wantResponse(t, s.send(t.Context(), "/long/", ""), "first", slowResponseTime)
		if n := dials.Load(); n != 2 {
			t.Fatalf("%d connections were attempted, want 2", n)
		}
		s.wantAttempts(t, 1, 0)
	})
}

// A second target that registers later is tried then.
func secondRegistersLater(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		config := testConfig()
		config.RetryShare, config.RetryExtra = 0, 1.5 // one retry, which a search without a result must not use up
		s := newRig(t, config, 2)
		s.register(t, "0")
		s.scripts = scripts(s.silent(), s.responds(100*time.Millisecond, "second"))
		got := make(chan result, 1)
		go func() { got <- s.send(t.Context(), "/long/", "") }()
		time.Sleep(2 * time.Second)
		s.register(t, "0", "1")
		r := <-got
		if r.status != http.StatusOK || r.body != "second" {
			t.Fatalf("got %d %q after %s", r.status, r.body, r.took)
		}
		if r.took > 2*time.Second+500*time.Millisecond {
			t.Fatalf("answered after %s", r.took)
		}
		s.wantAttempts(t, 2, 1)
	})
}

// register registers targets t0, t1 and so on.
func (s *rig) register(t *testing.T, addresses ...string) {
	t.Helper()
	state, _ := steering.State{}.Apply(&wire.Command{Routes: &wire.RoutesCommand{Document: &wire.RoutesDocument{Number: 1, Text: []byte("x")}}})
	for i, a := range addresses {
		state, _ = state.Apply(&wire.Command{Registration: &wire.RegistrationCommand{Registration: &wire.Registration{
			Id: fmt.Sprint("t", i), Service: "s", Address: a, Zone: "z", Slots: 4, Sequence: 1,
		}}})
	}
	s.daemon.applyState(state, nil)
}

// There is no hedged attempt for unrepeatable requests and routes with one attempt.
func TestNoHedgedAttemptWhereForbidden(t *testing.T) {
	for name, path := range map[string]string{"unrepeatable": "/once/", "one attempt": "/single/"} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				s := newRig(t, testConfig(), 2)
				s.scripts = scripts(s.responds(slowResponseTime, "first"))
				s.wantResponse(t, s.send(t.Context(), path, ""), "first", slowResponseTime)
				s.wantAttempts(t, 1, 0)
			})
		})
	}
}

// No more targets get a request than its route allows. A request that they may have run must not be
// reported as not run.
func bothUnresponsive(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newRig(t, testConfig(), 3)
		s.scripts = scripts(s.silent(), s.silent())
		got := s.send(t.Context(), "/long/", "")
		if got.status != http.StatusGatewayTimeout || got.header.Get("Retry-After") != "" || got.took != 5*time.Second {
			t.Fatalf("got %d after %s, %v", got.status, got.took, got.header)
		}
		s.wantAttempts(t, 2, 2)
	})
}

// A rejection by the second target must not make the request count as not run while the first may
// have run it.
func rejectedAfterOverdue(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newRig(t, testConfig(), 2)
		s.scripts = scripts(s.breaks(slowResponseTime), s.rejects())
		got := s.send(t.Context(), "/long/", "")
		if got.status != http.StatusBadGateway || got.header.Get("Retry-After") != "" {
			t.Fatalf("got %d after %s, %v", got.status, got.took, got.header)
		}
		s.wantAttempts(t, 2, 0)
	})
}

// A rejection by the second target must not make the request count as not run either if the first
// attempt broke before the second one was started.
func rejectedAfterBroken(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newRig(t, testConfig(), 2)
		s.scripts = scripts(s.breaks(time.Millisecond), s.rejects())
		got := s.send(t.Context(), "/long/", "")
		if got.status != http.StatusBadGateway || got.header.Get("Retry-After") != "" {
			t.Fatalf("got %d after %s, %v", got.status, got.took, got.header)
		}
		s.wantAttempts(t, 2, 0)
	})
}

// If the first attempt breaks, the failure reported by the second target is forwarded.
func secondFails(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newRig(t, testConfig(), 2)
		s.scripts = scripts(s.breaks(slowResponseTime), s.respondsStatus(0, http.StatusInternalServerError))
		got := s.send(t.Context(), "/long/", "")
		if got.status != http.StatusInternalServerError || got.body != "no" || got.took != slowResponseTime {
			t.Fatalf("got %d %q after %s", got.status, got.body, got.took)
		}
		s.wantAttempts(t, 2, 0)
	})
}

// A caller that disconnects cancels the attempts at both targets.
func TestDisconnectCancelsBothAttempts(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newRig(t, testConfig(), 2)
		s.scripts = scripts(s.silent(), s.silent())
		ctx, cancel := context.WithTimeout(t.Context(), slowResponseTime)
		defer cancel()
		got := s.send(ctx, "/long/", "")
		if got.status != http.StatusBadGateway || got.took != slowResponseTime {
			t.Fatalf("got %d after %s", got.status, got.took)
		}
		s.wantAttempts(t, 2, 2)
	})
}

// The log line of a request reports the hedged attempt, its delay, and the outcome of the other
// attempt.
func TestLogReportsHedgedAttempt(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newRig(t, testConfig(), 2)
		var lines bytes.Buffer
		s.daemon.log = zerolog.New(&lines)
		s.scripts = scripts(s.silent(), s.responds(100*time.Millisecond, "second"))
		s.send(t.Context(), "/long/", "")
		for _, want := range []string{`"sent":2`, `"beside":1`, `"besideAfter":750`, ` stuck"]`, `"outcome":"answered"`} {
			if !strings.Contains(lines.String(), want) {
				t.Errorf("%s is not in the log: %s", want, lines.String())
			}
		}
	})
}

// The log line of a request reports why there was no hedged attempt.
func TestLogReportsWhyNoHedgedAttempt(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newRig(t, testConfig(), 1)
		var lines bytes.Buffer
		s.daemon.log = zerolog.New(&lines)
		s.scripts = scripts(s.responds(slowResponseTime, "first"))
		s.send(t.Context(), "/long/", "")
		if want := `"noneBeside":"no target of s: none can be used`; !strings.Contains(lines.String(), want) {
			t.Errorf("%s is not in the log: %s", want, lines.String())
		}
	})
}
