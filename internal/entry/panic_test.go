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

// panicsOn is a transport's choice of a proxy, made by the goroutine of the request, that
// panics on one path.
func panicsOn(path string) func(*http.Request) (*url.URL, error) {
	return func(r *http.Request) (*url.URL, error) {
		if strings.HasSuffix(r.URL.Path, path) {
			panic("made by a test")
		}
		return nil, nil
	}
}

// panicCase says where a request under a key panics.
type panicCase struct {
	name string
	// part is what the log names, atHolder whether the box that holds the pool takes the request.
	part     string
	atHolder bool
	prepare  func(d *Daemon)
	outcome  caller.Outcome
}

func panicCases() []panicCase {
	return []panicCase{
		{"attempt", "attempt", true, func(d *Daemon) { d.toTargets.Proxy = panicsOn("/bad") }, caller.Unknown},
		{"run of a key", "keys", false, func(d *Daemon) { d.toPeers.Proxy = panicsOn("/bad") }, caller.Unknown},
		{"record of a key", "witness", true, func(d *Daemon) {
			d.keys.call = func(context.Context, string, *wire.CallRequest) (*wire.CallAnswer, error) { panic("made by a test") }
		}, caller.NotRun},
	}
}

// Guards against a panic in a goroutine of one request that ends the box with all its callers,
// or leaves its caller waiting or its slot taken.
func TestPanicEndsOneRequest(t *testing.T) {
	for _, c := range panicCases() {
		t.Run(c.name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				s := newSystem(t, cellSlots)
				at := s.box(s.boxFor(c.atHolder))
				var lines bytes.Buffer
				at.daemon.process.Log = zerolog.New(&lines)
				call := at.daemon.keys.call
				c.prepare(at.daemon)
				client := s.client("flags")
				client.Pin(at.host + ":1")
				for range 3 * cellSlots {
					a, _ := client.Do(t.Context(), caller.Request{Method: http.MethodPost, Path: "/bad", Timeout: 300 * time.Millisecond})
					if a.Outcome != c.outcome {
						t.Fatalf("the request that panics is %s, want %s", a.Outcome, c.outcome)
					}
				}
				at.daemon.keys.call = call
				for i := range 3 * cellSlots {
					if a := s.toggle(client, fmt.Sprint("beside-", i), time.Second); a.Outcome != caller.Ran {
						t.Errorf("another request is %s: %s", a.Outcome, a.Header.Get(caller.HeaderReason))
					}
				}
				s.close(cellSlots)
				report(t, s)
				for _, want := range []string{`"kind":"panic"`, fmt.Sprintf(`"part":%q`, c.part), `"panic":"made by a test"`, "panic_test.go"} {
					if !strings.Contains(lines.String(), want) {
						t.Errorf("%s is not in the log: %s", want, lines.String())
					}
				}
			})
		})
	}
}

// boxFor returns a box of zone a that holds its pool, or the other one.
func (s *system) boxFor(holder bool) string {
	for _, name := range []string{"b1", "b2"} {
		if (name == s.holderOf("za")) == holder {
			return name
		}
	}
	return "b1"
}
