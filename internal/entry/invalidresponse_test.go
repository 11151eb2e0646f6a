package entry

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"ledgesill.dev/ledgesill/pkg/responsehead"
)

// Guards against bytes that are no response and that a caller gets as one, or that make the box panic:
// statuses below 100, names with blanks and other versions.
func TestInvalidResponseIsAnError(t *testing.T) {
	for name, text := range map[string]string{
		"status 000":          "HTTP/1.1 000 X\r\nContent-Length: 3\r\n\r\nbad",
		"status 099":          "HTTP/1.1 099 X\r\nContent-Length: 3\r\n\r\nbad",
		"another version":     "HTTP/2.0 200 OK\r\nContent-Length: 3\r\n\r\nbad",
		"blank in a name":     "HTTP/1.1 200 OK\r\nX Foo: a\r\nContent-Length: 3\r\n\r\nbad",
		"blank behind length": "HTTP/1.1 200 OK\r\nContent-Length : 3\r\n\r\nbad and more",
	} {
		t.Run(name, func(t *testing.T) {
			transport := newTransport(func(context.Context, string, string) (net.Conn, error) {
				near, far := net.Pipe()
				go func() {
					defer far.Close()
					if _, err := http.ReadRequest(bufio.NewReader(far)); err == nil {
						_, _ = io.WriteString(far, text) // the box may have closed the connection
					}
				}()
				return near, nil
			})
			defer transport.CloseIdleConnections()
			r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://a1:1/", nil)
			if err != nil {
				t.Fatal(err)
			}
			var invalid *responsehead.InvalidError
			response, err := transport.RoundTrip(r)
			if err == nil {
				_ = response.Body.Close()
				t.Fatalf("status %d is a response", response.StatusCode)
			}
			if !errors.As(err, &invalid) {
				t.Errorf("%v, want an InvalidError", err)
			}
		})
	}
}
