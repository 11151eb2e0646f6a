package entry

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"ledgesill.dev/ledgesill/pkg/caller"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// panicOnPath returns a Proxy function for a transport, which runs on the goroutine of the
// request, that panics for paths with the given suffix.
func panicOnPath(path string) func(*http.Request) (*url.URL, error) {
	return func(r *http.Request) (*url.URL, error) {
		if strings.HasSuffix(r.URL.Path, path) {
			panic("made by a test")
		}
		return nil, nil
	}
}

// panicCase describes where a request with a key panics.
type panicCase struct {
	name string
	// logPart is the value of "part" in the log; atHolder sends the request to the box that
	// holds the pool.
	logPart  string
	atHolder bool
	prepare  func(d *Daemon)
	outcome  caller.Outcome
}

func panicCases() []panicCase {
	return []panicCase{
		{"attempt", "attempt", true, func(d *Daemon) { d.targetTransport.Proxy = panicOnPath("/bad") }, caller.Unknown},
		{"run of a key", "keys", false, func(d *Daemon) { d.peerTransport.Proxy = panicOnPath("/bad") }, caller.Unknown},
		{"record of a key", "witness", true, func(d *Daemon) {
			d.keys.call = func(context.Context, string, *wire.CallRequest) (*wire.CallAnswer, error) { panic("made by a test") }
		}, caller.NotRun},
	}
}

// Guards against a panic in a request's goroutine that crashes the box, leaves the caller
// waiting, or leaks the slot.
func TestPanicFailsOnlyItsRequest(t *testing.T) {
	for _, c := range panicCases() {
		t.Run(c.name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				s := newSystem(t, cellSlots)
				at := s.box(s.boxInZoneA(c.atHolder))
				var lines bytes.Buffer
				at.daemon.process.Log = zerolog.New(&lines)
				call := at.daemon.keys.call
				c.prepare(at.daemon)
				client := s.client("flags")
				client.Pin(at.host + ":1")
				for range 3 * cellSlots {
					a, _ := client.Do(t.Context(), caller.Request{Method: http.MethodPost, Path: "/bad", Timeout: 300 * time.Millisecond})
					if a.Outcome != c.outcome {
						t.Fatalf("outcome of the request that panics is %s, want %s", a.Outcome, c.outcome)
					}
				}
				at.daemon.keys.call = call
				for i := range 3 * cellSlots {
					if a := s.toggle(client, fmt.Sprint("beside-", i), time.Second); a.Outcome != caller.Ran {
						t.Errorf("outcome of another request is %s: %s", a.Outcome, a.Header.Get(caller.HeaderReason))
					}
				}
				s.close(cellSlots)
				reportProblems(t, s)
				for _, want := range []string{`"kind":"panic"`, fmt.Sprintf(`"part":%q`, c.logPart), `"panic":"made by a test"`, "panic_test.go"} {
					if !strings.Contains(lines.String(), want) {
						t.Errorf("the log lacks %s: %s", want, lines.String())
					}
				}
			})
		})
	}
}

// boxInZoneA returns the box of zone a that holds its pool, or the other one.
func (s *system) boxInZoneA(holder bool) string {
	for _, name := range []string{"b1", "b2"} {
		if (name == s.holderOf("za")) == holder {
			return name
		}
	}
	return "b1"
}
