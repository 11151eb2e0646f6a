package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// The failure that the only target told is the answer where there is no other.
func TestFailureOfATargetIsPassedOnWhereThereIsNoOther(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newRig(t, testConfig(), 1)
		s.scripts = scripts(s.answersStatus(0, http.StatusInternalServerError))
		if got := s.send(t.Context(), "/long/", ""); got.status != http.StatusInternalServerError || got.body != "no" {
			t.Fatalf("got %d %q", got.status, got.body)
		}
	})
	inVirtualTime(t, func(t *testing.T) {
		s := newRig(t, testConfig(), 2)
		s.scripts = scripts(s.answersStatus(0, http.StatusInternalServerError), s.rejects())
		if got := s.send(t.Context(), "/long/", ""); got.status != http.StatusInternalServerError || got.body != "no" {
			t.Fatalf("the second turned it away: got %d %q", got.status, got.body)
		}
	})
}

// Guards against a target's long or slow 5xx that is replaced by an answer of the box's own.
func TestLongFailureIsPassedOnWhereNothingBetterComes(t *testing.T) {
	long := strings.Repeat("x", 2*maxBufferedResponse)
	t.Run("the only target", func(t *testing.T) {
		wantFailureForwarded(t, 1, long, func(s *rig) []script { return []script{s.fails(long)} })
	})
	t.Run("the only target is slow", func(t *testing.T) {
		wantFailureForwarded(t, 1, "abcdef", func(s *rig) []script { return []script{s.fails("ab", "cd", "ef")} })
	})
	t.Run("the second turns away", func(t *testing.T) {
		wantFailureForwarded(t, 2, long, func(s *rig) []script { return []script{s.fails(long), s.rejects()} })
	})
	t.Run("the second breaks", func(t *testing.T) {
		wantFailureForwarded(t, 2, long, func(s *rig) []script { return []script{s.fails(long), s.breaks(0)} })
	})
	t.Run("beside one that breaks", func(t *testing.T) {
		wantFailureForwarded(t, 2, long, func(s *rig) []script { return []script{s.breaks(slowResponseTime), s.fails(long)} })
	})
}

// wantFailureForwarded checks that the caller gets a failure whole.
func wantFailureForwarded(t *testing.T, targets int, body string, list func(s *rig) []script) {
	t.Helper()
	inVirtualTime(t, func(t *testing.T) {
		s := newRig(t, testConfig(), targets)
		s.scripts = scripts(list(s)...)
		got := s.send(t.Context(), "/long/", "")
		if got.status != http.StatusInternalServerError || got.body != body {
			t.Errorf("got %d %.20q, %d bytes, want %d", got.status, got.body, len(got.body), len(body))
		}
		s.wantAttempts(t, targets, 0)
	})
}

// fails tells a failure whose body comes in parts, each of which takes longer than
// the time for which an answer is collected.
func (s *rig) fails(parts ...string) script {
	return func(r *http.Request, c net.Conn) bool {
		fmt.Fprintf(c, "HTTP/1.1 500 X\r\nTest-Id: %s\r\nContent-Length: %d\r\n\r\n", r.Header.Get("Test-Id"), len(strings.Join(parts, "")))
		for i, p := range parts {
			if i > 0 {
				time.Sleep(2 * maxBufferTime)
			}
			if _, err := io.WriteString(c, p); err != nil {
				s.ended <- r.Header.Get("Test-Id")
				return false
			}
		}
		return true
	}
}

// A long failure that was put aside for a better answer ends with it.
func TestLongFailureGivesWayToABetterAnswer(t *testing.T) {
	long := strings.Repeat("x", 2*maxBufferedResponse)
	for name, list := range map[string]func(s *rig) []script{
		"one after the other": func(s *rig) []script { return []script{s.fails(long), s.answers(0, "better")} },
		"beside":              func(s *rig) []script { return []script{s.answers(slowResponseTime, "better"), s.fails(long)} },
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				s := newRig(t, testConfig(), 2)
				s.scripts = scripts(list(s)...)
				if got := s.send(t.Context(), "/long/", ""); got.status != http.StatusOK || got.body != "better" {
					t.Errorf("got %d %.20q", got.status, got.body)
				}
				s.wantAttempts(t, 2, 1)
			})
		})
	}
}

// A long failure can't be read any more once the time of the request is over: a
// whole answer of the box's own is better than a broken one.
func TestLongFailureIsNotBegunWhenTheTimeIsOver(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newRig(t, testConfig(), 2)
		s.scripts = scripts(s.fails(strings.Repeat("x", 2*maxBufferedResponse)), s.silent())
		if got := s.send(t.Context(), "/long/", ""); got.status != http.StatusGatewayTimeout || got.took != 5*time.Second {
			t.Errorf("got %d %.20q after %s", got.status, got.body, got.took)
		}
		s.wantAttempts(t, 2, 2)
	})
}

// Guards against a retry that is taken from the budget by a request that finds no second
// target.
func TestRetryIsTakenOnlyWithATarget(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		config := testConfig()
		config.RetryShare, config.RetryExtra = 0, 1.5
		s := newRig(t, config, 2)
		s.scripts = scripts(s.breaks(0), s.breaks(0), s.answers(0, "second"), s.breaks(0))
		s.register(t, "0")
		if got := s.send(t.Context(), "/long/", ""); got.status != http.StatusBadGateway {
			t.Fatalf("got %d %q", got.status, got.body)
		}
		s.register(t, "0", "1")
		s.wantResponse(t, s.send(t.Context(), "/long/", ""), "second", 0)
		if got := s.send(t.Context(), "/long/", ""); got.status != http.StatusBadGateway {
			t.Fatalf("the budget has more than one retry: got %d %q", got.status, got.body)
		}
	})
}

// An answer that breaks while it is passed on breaks off towards the caller too,
// who must not take it for whole; that panic is for net/http and not recovered.
func TestBrokenLongAnswerBreaksOffTowardsTheCaller(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newRig(t, testConfig(), 1)
		s.scripts = scripts(func(r *http.Request, c net.Conn) bool {
			body := strings.Repeat("x", 2*maxBufferedResponse)
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTest-Id: %s\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("Test-Id"), len(body)+1, body)
			return false
		})
		defer func() {
			if p := recover(); p != http.ErrAbortHandler {
				t.Errorf("the handler ended with %v", p)
			}
			s.wantNoneInFlight(t)
		}()
		got := s.send(t.Context(), "/once/", "")
		t.Errorf("a broken answer of %d bytes ended as whole", len(got.body))
	})
}
