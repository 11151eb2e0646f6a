package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
)

// resetRounds is how often a response is reset: whether a read or a write gets the error differs.
const resetRounds = 60

// slowUpload is a body of unknown length that is read in small pieces.
type slowUpload struct{ left int }

// Read implements io.Reader.
func (u *slowUpload) Read(p []byte) (int, error) {
	if u.left == 0 {
		return 0, io.EOF
	}
	runtime.Gosched()
	n := min(len(p), u.left, 4000)
	u.left -= n
	return n, nil
}

// partOfResponse begins a response that ends with its connection.
func partOfResponse(r *http.Request, c net.Conn, body string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTest-Id: %s\r\n\r\n%s", r.Header.Get("Test-Id"), body)
}

// uploadOnce sends an upload to a box with one target and returns the response as its caller sees it.
func uploadOnce(t *testing.T, respond func(r *http.Request, c *net.TCPConn)) (status int, body string, err error) {
	t.Helper()
	g := newGateway(t, newTarget(t, func(_ int, r *http.Request, c net.Conn) bool {
		respond(r, c.(*net.TCPConn))
		return false
	}))
	r, err := http.NewRequest(http.MethodPost, g.server.URL+"/unsafe/", &slowUpload{400_000})
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "a.example"
	r.Header.Set("Test-Id", "id1")
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), err
}

// Guards against a response that is reset while its request is still being sent, and that the caller
// gets as a complete one: the upload got the error, the response its end.
func TestResetDuringUploadIsNoCompleteResponse(t *testing.T) {
	for n := range resetRounds {
		status, body, err := uploadOnce(t, func(r *http.Request, c *net.TCPConn) {
			partOfResponse(r, c, "part")
			_ = c.SetLinger(0)
		})
		if err == nil && status != http.StatusBadGateway {
			t.Fatalf("round %d: the caller got %d %q as a complete response", n, status, body)
		}
	}
}

// A target may end its response soundly before it has read the whole request.
func TestSoundEndDuringUploadIsCompleteResponse(t *testing.T) {
	for n := range resetRounds {
		status, body, err := uploadOnce(t, func(r *http.Request, c *net.TCPConn) {
			partOfResponse(r, c, "whole")
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, r.Body)
		})
		if err != nil || status != http.StatusOK || body != "whole" {
			t.Fatalf("round %d: got %d %q, %v", n, status, body, err)
		}
	}
}
