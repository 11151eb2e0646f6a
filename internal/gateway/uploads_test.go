package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// uploadBytes is the length of an upload, which a caller sends in pieces of uploadPiece with a
	// pause after each. It takes 600 ms, and its target has the head after 255 ms.
	uploadBytes = 160_000
	uploadPiece = 4_000
	uploadPause = 15 * time.Millisecond
	// earlyTime is how long a target takes to send a response that it begins before it has read the
	// body. The response is complete before the upload.
	earlyTime = 100 * time.Millisecond
)

// uploadRig is a box with targets and one connection of a caller, all in memory.
type uploadRig struct {
	*pipeRig
	// got receives each body that a target has read, with an error if it was truncated.
	got chan gotBody
}

type gotBody struct {
	text string
	err  error
}

// newUploadRig returns a rig whose targets read the body and meanwhile respond by a function.
func newUploadRig(t *testing.T, respond func(c net.Conn, id string)) *uploadRig {
	t.Helper()
	u := &uploadRig{newPipeRig(t), make(chan gotBody, 4)}
	for _, one := range u.targets {
		one.script = func(_ int, r *http.Request, c net.Conn) bool {
			responded := make(chan struct{})
			go func() { defer close(responded); respond(c, r.Header.Get("Test-Id")) }()
			text, err := io.ReadAll(r.Body)
			u.got <- gotBody{string(text), err}
			<-responded
			return err == nil
		}
	}
	return u
}

// uploadText returns a body in which each line is different.
func uploadText() string {
	var b strings.Builder
	for n := 0; b.Len() < uploadBytes; n++ {
		fmt.Fprintf(&b, "line %06d\n", n)
	}
	return b.String()[:uploadBytes]
}

// framing is how a caller frames the body of an upload.
type framing struct{ header, expect string }

var (
	inChunks   = framing{header: "Transfer-Encoding: chunked\r\n"}
	withLength = framing{header: fmt.Sprintf("Content-Length: %d\r\n", uploadBytes)}
	expecting  = framing{header: "Transfer-Encoding: chunked\r\n", expect: "Expect: 100-continue\r\n"}
)

// upload sends the first bytes of an upload and, if those are all, its end. The channel gets how long
// that took, or is closed after an error.
func (u *uploadRig) upload(f framing, bytes int) <-chan time.Duration {
	sent := make(chan time.Duration, 1)
	go func() {
		defer close(sent)
		began := time.Now()
		fmt.Fprintf(u.caller, "POST /once/x HTTP/1.1\r\nHost: a.example\r\nTest-Id: up\r\nTest-Deadline: 5000\r\n%s%s\r\n", f.header, f.expect)
		var to io.Writer = u.caller
		if f.header != withLength.header {
			to = httputil.NewChunkedWriter(u.caller)
		}
		for text := uploadText()[:bytes]; text != ""; text = text[uploadPiece:] {
			if _, err := io.WriteString(to, text[:uploadPiece]); err != nil {
				return
			}
			time.Sleep(uploadPause)
		}
		if bytes == uploadBytes && f.header != withLength.header {
			_, _ = io.WriteString(u.caller, lastChunk)
		}
		sent <- time.Since(began)
	}()
	return sent
}

// wantWhole checks that the target has got the whole upload.
func (u *uploadRig) wantWhole(t *testing.T) {
	t.Helper()
	got := <-u.got
	if got.err != nil || got.text != uploadText() {
		t.Errorf("the target got %d of %d bytes, error %v", len(got.text), uploadBytes, got.err)
	}
}

// wantTruncated checks that the target has got a truncated upload, and nothing else.
func (u *uploadRig) wantTruncated(t *testing.T) {
	t.Helper()
	got := <-u.got
	if got.err == nil || !strings.HasPrefix(uploadText(), got.text) {
		t.Errorf("the target got %d bytes, error %v, want the beginning of the upload and an error", len(got.text), got.err)
	}
	synctest.Wait()
	if n := len(u.got); n != 0 {
		t.Errorf("targets got %d further requests", n)
	}
}

// wantResponse reads a response to its end and checks its status and, if that is not negative, its
// length.
func (u *uploadRig) wantResponse(t *testing.T, status, length int) *http.Response {
	t.Helper()
	r, err := http.ReadResponse(u.reader, nil)
	for err == nil && r.StatusCode == http.StatusContinue {
		r, err = http.ReadResponse(u.reader, nil)
	}
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil || r.StatusCode != status || length >= 0 && len(body) != length {
		t.Fatalf("got status %d with %d bytes, error %v, want %d with %d", r.StatusCode, len(body), err, status, length)
	}
	return r
}

// wantNext sends another request and checks that it is served on the same connection.
func (u *uploadRig) wantNext(t *testing.T, status int) {
	t.Helper()
	u.write("POST /once/y HTTP/1.1\r\nHost: a.example\r\nTest-Id: next\r\nTest-Deadline: 5000\r\nContent-Length: 3\r\n\r\nabc")
	u.wantResponse(t, status, -1)
}

// wantClosed checks that the box closes the caller's connection without a further response.
func (u *uploadRig) wantClosed(t *testing.T) {
	t.Helper()
	if n, err := u.reader.ReadByte(); err == nil {
		t.Errorf("got %q behind the response", n)
	}
}

// earlyResponses are the ways in which a target responds before it has read the body, each 10,000
// bytes long.
var earlyResponses = map[string]func(c net.Conn, id string){
	"at once": func(c net.Conn, id string) { writeResponse(c, id, strings.Repeat("x", 10_000)) },
	"with a length": func(c net.Conn, id string) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTest-Id: %s\r\nContent-Length: 10000\r\n\r\n", id)
		writeSlowly(c)
	},
	"in chunks": func(c net.Conn, id string) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTest-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n", id)
		writeSlowly(httputil.NewChunkedWriter(c))
		_, _ = io.WriteString(c, lastChunk)
	},
}

// writeSlowly writes 10,000 bytes over earlyTime.
func writeSlowly(w io.Writer) {
	for range 10 {
		time.Sleep(earlyTime / 10)
		_, _ = io.WriteString(w, strings.Repeat("x", 1000))
	}
}

// Guards against an upload with gaps, or one that breaks off, when its target responds before it has
// read the body, and against a response that waits for the upload.
func TestUploadIsWholeAfterEarlyResponse(t *testing.T) {
	for name, f := range map[string]framing{"in chunks": inChunks, "with a length": withLength, "expecting": expecting} {
		for response, respond := range earlyResponses {
			t.Run("upload "+name+", response "+response, func(t *testing.T) {
				inVirtualTime(t, func(t *testing.T) {
					u := newUploadRig(t, respond)
					began := time.Now()
					sent := u.upload(f, uploadBytes)
					u.wantResponse(t, http.StatusOK, 10_000)
					responded := time.Since(began)
					if took := <-sent; responded > took-100*time.Millisecond {
						t.Errorf("the response was complete after %s, the upload after %s", responded, took)
					}
					u.wantWhole(t)
					if f != expecting {
						u.wantNext(t, http.StatusOK)
						if n := u.targets[0].conns.Load() + u.targets[1].conns.Load(); n > 2 {
							t.Errorf("%d connections to 2 targets", n)
						}
					}
					u.wantNothingLeft(t)
				})
			})
		}
	}
}

// Guards against a caller that reads no response before it has sent the body and waits for ever for
// the box to read it.
func TestCallerMaySendBodyBeforeReadingResponse(t *testing.T) {
	responses := map[string]func(c net.Conn, id string){
		"the target reads on":      func(c net.Conn, id string) { writeResponse(c, id, strings.Repeat("x", 1<<20)) },
		"the target reads no more": func(c net.Conn, id string) { writeResponse(c, id, "x"); _ = c.Close() },
		"the target breaks":        func(c net.Conn, _ string) { _ = c.Close() },
		"the target does not run it": func(c net.Conn, id string) {
			fmt.Fprintf(c, "HTTP/1.1 503 X\r\nTest-Id: %s\r\nTest-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
		},
	}
	wants := map[string]int{
		"the target reads on": http.StatusOK, "the target reads no more": http.StatusOK,
		"the target breaks": http.StatusBadGateway, "the target does not run it": http.StatusServiceUnavailable,
	}
	for name, respond := range responses {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				u := newUploadRig(t, respond)
				if _, ok := <-u.upload(inChunks, uploadBytes); !ok {
					t.Fatal("the upload failed")
				}
				u.wantResponse(t, wants[name], -1)
				u.wantNext(t, wants[name])
				u.wantNothingLeft(t)
			})
		})
	}
}

// Guards against a target that takes a truncated upload for a complete one, and against bytes behind
// it that are taken for a request.
func TestUploadThatBreaksOffStaysIncomplete(t *testing.T) {
	const smuggled = "POST /once/smuggled HTTP/1.1\r\nHost: a.example\r\nTest-Id: s\r\nContent-Length: 0\r\n\r\n"
	breaks := map[string]func(u *uploadRig){
		"the caller leaves":           func(u *uploadRig) { _ = u.caller.Close() },
		"the caller breaks a chunk":   func(u *uploadRig) { u.write("zz\r\n" + smuggled + smuggled) },
		"the caller breaks a trailer": func(u *uploadRig) { u.write("0\r\nx\r\n" + smuggled + smuggled) },
		"the caller stops":            func(*uploadRig) {},
	}
	for name, breakOff := range breaks {
		for response, respond := range earlyResponses {
			t.Run(name+", response "+response, func(t *testing.T) {
				inVirtualTime(t, func(t *testing.T) {
					u := newUploadRig(t, respond)
					began := time.Now()
					sent := u.upload(inChunks, 120_000)
					u.wantResponse(t, http.StatusOK, 10_000)
					if _, ok := <-sent; !ok {
						t.Fatal("the upload failed early")
					}
					breakOff(u)
					u.wantTruncated(t)
					u.wantClosed(t)
					if took := time.Since(began); took > 5*time.Second+lingerTime {
						t.Errorf("ended after %s, the deadline was 5 s", took)
					}
					u.wantNothingLeft(t)
				})
			})
		}
	}
}

// Guards against an upload that breaks off because its caller, which has the response and has sent the
// whole body, disconnects before the target has read all of it.
func TestCallerDisconnectsAfterUpload(t *testing.T) {
	for response, respond := range earlyResponses {
		t.Run(response, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				u := newUploadRig(t, nil)
				for _, one := range u.targets {
					one.script = func(_ int, r *http.Request, c net.Conn) bool {
						go respond(c, r.Header.Get("Test-Id"))
						begin := make([]byte, uploadBytes-uploadPiece/2)
						_, err := io.ReadFull(r.Body, begin)
						if err == nil {
							time.Sleep(time.Second)
						}
						end, endErr := io.ReadAll(r.Body)
						u.got <- gotBody{string(begin) + string(end), errors.CombineErrors(err, endErr)}
						return false
					}
				}
				sent := u.upload(inChunks, uploadBytes)
				u.wantResponse(t, http.StatusOK, 10_000)
				if _, ok := <-sent; !ok {
					t.Fatal("the upload failed")
				}
				_ = u.caller.Close()
				u.wantWhole(t)
				u.wantNothingLeft(t)
			})
		})
	}
}

// Guards against a response that waits for a target which reads the upload no further, and a request
// that outlives its deadline for it.
func TestTargetStopsReadingUpload(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		u := newUploadRig(t, nil)
		for _, one := range u.targets {
			one.script = func(_ int, r *http.Request, c net.Conn) bool {
				writeResponse(c, r.Header.Get("Test-Id"), "x")
				time.Sleep(10 * time.Second)
				return false
			}
		}
		began := time.Now()
		u.upload(inChunks, uploadBytes)
		u.wantResponse(t, http.StatusOK, 1)
		if took := time.Since(began); took > 300*time.Millisecond {
			t.Errorf("the response was complete after %s", took)
		}
		time.Sleep(time.Until(began.Add(5*time.Second + lingerTime + uploadPause)))
		synctest.Wait()
		if n := u.daemon.inFlight.Load(); n != 0 {
			t.Errorf("%d requests in flight after the deadline", n)
		}
		time.Sleep(10 * time.Second)
		u.wantNothingLeft(t)
	})
}

// Guards against a caller with malformed chunks that is held against the target, and one that gets a
// failure of the target for it.
func TestBrokenUploadIsNotHeldAgainstTarget(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		u := newUploadRig(t, func(net.Conn, string) {})
		<-u.upload(inChunks, 120_000)
		u.write("zz\r\n")
		u.wantResponse(t, http.StatusBadRequest, -1)
		u.wantTruncated(t)
		u.wantClosed(t)
		if u.daemon.isolation.IsIdle() {
			u.wantNothingLeft(t)
			return
		}
		t.Error("the target was suspected to have crashed")
	})
}

// Guards against a box that cuts an upload off when it shuts down, or has the caller end it.
func TestShutdownWaitsForUpload(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		u := newUploadRig(t, earlyResponses["at once"])
		u.daemon.stopping.Store(true)
		u.upload(inChunks, uploadBytes)
		if r := u.wantResponse(t, http.StatusOK, 10_000); r.Close {
			t.Error("the response told the caller to close the connection")
		}
		if err := u.daemon.callerServer.shutdown(t.Context()); err != nil {
			t.Error(err)
		}
		u.wantWhole(t)
	})
}

// Guards against an upload with gaps when its target responds before it has read the body: the box
// and the HTTP server both read it.
func TestUploadHasOneReader(t *testing.T) {
	got := make(chan gotBody, 1)
	g := newGateway(t, newTarget(t, func(_ int, r *http.Request, c net.Conn) bool {
		writeResponse(c, r.Header.Get("Test-Id"), "early")
		text, err := io.ReadAll(r.Body)
		got <- gotBody{string(text), err}
		return err == nil
	}))
	for range 20 {
		c := openPartialRequest(t, g, "POST /unsafe/ HTTP/1.1\r\nHost: a.example\r\nTest-Id: up\r\nTest-Key: k\r\nTransfer-Encoding: chunked\r\n\r\n")
		body := httputil.NewChunkedWriter(c)
		for text := uploadText(); text != ""; text = text[uploadPiece:] {
			_, _ = io.WriteString(body, text[:uploadPiece]) // on an error the target gets a truncated body
		}
		_, _ = io.WriteString(c, lastChunk)
		if one := <-got; one.err != nil || one.text != uploadText() {
			t.Errorf("the target got %d of %d bytes, error %v", len(one.text), uploadBytes, one.err)
		}
		_ = c.Close()
	}
}
