package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"ledgesill.dev/ledgesill/internal/config"
	"ledgesill.dev/ledgesill/pkg/caller"
)

const (
	// endlessBytes is how much is written before a response counts as read without a bound.
	endlessBytes = 64 << 20
	// maxBytesRead bounds what a box may read of a response that it does not forward.
	maxBytesRead = 4 << 20
)

// endlessReader repeats a text and counts what is read.
type endlessReader struct {
	text string
	read int
}

// Read implements io.Reader.
func (r *endlessReader) Read(p []byte) (int, error) {
	if r.read >= endlessBytes {
		return 0, io.ErrUnexpectedEOF
	}
	n := 0
	for n < len(p) {
		n += copy(p[n:], r.text)
	}
	r.read += n
	return n, nil
}

// roundTripper responds to each request with a status of 200 and a body.
type roundTripper struct{ body io.Reader }

// RoundTrip implements http.RoundTripper.
func (r roundTripper) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(r.body)}, nil
}

// Guards against a health response, or a list of boxes, without an end that takes all memory of the
// box.
func TestEndlessJSONIsBounded(t *testing.T) {
	for name, fetch := range map[string]func(d *Daemon) error{
		"health": func(d *Daemon) error {
			_, err := d.probe(t.Context(), &pool{}, "a1", "a1:1")
			return err
		},
		"list of boxes": func(d *Daemon) error {
			_, err := d.fetchLeaving(t.Context())
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			body := &endlessReader{text: "a"}
			start := strings.NewReader(`{"boxes":[{"address":"`)
			d := &Daemon{probeClient: &http.Client{Transport: roundTripper{io.MultiReader(start, body)}}, config: config.Entry{PlatformList: "http://list/"}}
			if err := fetch(d); err == nil {
				t.Error("no error")
			}
			if body.read > maxBytesRead {
				t.Errorf("%d bytes were read", body.read)
			}
		})
	}
}

// Guards against a response head without an end that takes all memory of the box.
func TestEndlessResponseHeadIsBounded(t *testing.T) {
	for name, start := range map[string]string{
		"status line": "HTTP/1.1 200 ",
		"header":      "HTTP/1.1 200 OK\r\nX-A: ",
		"no HTTP":     "",
	} {
		t.Run(name, func(t *testing.T) {
			written := make(chan int, 1)
			transport := newTransport(func(context.Context, string, string) (net.Conn, error) {
				near, far := net.Pipe()
				go writeEndlessly(far, start, written)
				return near, nil
			})
			defer transport.CloseIdleConnections()
			r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://a1:1/", nil)
			if err != nil {
				t.Fatal(err)
			}
			if response, err := transport.RoundTrip(r); err == nil {
				_ = response.Body.Close()
				t.Error("no error")
			}
			if n := <-written; n > maxBytesRead {
				t.Errorf("%d bytes were read", n)
			}
		})
	}
}

func writeEndlessly(c net.Conn, start string, written chan<- int) {
	go func() { _, _ = io.Copy(io.Discard, c) }() // ends with the connection
	piece := []byte(strings.Repeat("a", 1<<16))
	total, err := c.Write([]byte(start))
	for err == nil && total < endlessBytes {
		var n int
		n, err = c.Write(piece)
		total += n
	}
	_ = c.Close() // the box may have closed it
	written <- total
}

// Guards against an answer to a keyed request that is cut at the limit and looks complete.
func TestTooLongAnswerIsNotCut(t *testing.T) {
	a := readFully(&answer{outcome: caller.Ran, status: http.StatusOK, stream: io.NopCloser(&endlessReader{text: "a"})})
	if a.outcome != caller.Unknown {
		t.Errorf("outcome %q with %d bytes, want %q", a.outcome, len(a.body), caller.Unknown)
	}
	whole := strings.Repeat("a", maxBody)
	a = readFully(&answer{outcome: caller.Ran, status: http.StatusOK, stream: io.NopCloser(strings.NewReader(whole))})
	if a.outcome != caller.Ran || len(a.body) != maxBody {
		t.Errorf("outcome %q with %d bytes, want %d", a.outcome, len(a.body), maxBody)
	}
}
