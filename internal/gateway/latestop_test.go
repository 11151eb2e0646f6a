package gateway

import (
	"net/http"
	"testing"
	"time"
)

// shutDown begins to shut the box down and returns a function that waits for the end of that.
func (p *pipeRig) shutDown() (wait func()) {
	stopped := make(chan struct{})
	go func() { defer close(stopped); p.daemon.shutdown() }()
	return func() { <-stopped }
}

// wantStatus reads a response and checks its status.
func (p *pipeRig) wantStatus(t *testing.T, want int) *http.Response {
	t.Helper()
	r, err := http.ReadResponse(p.reader, nil)
	if err != nil {
		t.Fatalf("instead of %d: %v", want, err)
	}
	if r.StatusCode != want {
		t.Fatalf("got %d, want %d", r.StatusCode, want)
	}
	return r
}

// A request that arrives late in a planned stop, on a connection that was open before, reaches no target:
// it would be cut off without a response when the stop time ends.
func TestLateRequestInStopReachesNoTarget(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		p := newPipeRig(t)
		wait := p.shutDown()
		time.Sleep(4500 * time.Millisecond)
		began := time.Now()
		p.write(requests("/single/4000/a"))
		if r, err := http.ReadResponse(p.reader, nil); err == nil {
			t.Errorf("got %d, want the end of the connection", r.StatusCode)
		}
		if took := time.Since(began); took > 0 {
			t.Errorf("the caller learned of it after %s", took)
		}
		wait()
		p.wantArrived(t, 0)
	})
}

// Guards against a request that a stopping box has taken and that is cut off without a response, because
// it takes longer than the box runs. Its target learns of the time that is left.
func TestLongRequestInStopIsAnswered(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		p := newPipeRig(t)
		began := time.Now()
		wait := p.shutDown()
		time.Sleep(3 * time.Second)
		p.write(requests("/single/4900/a"))
		p.wantStatus(t, http.StatusGatewayTimeout)
		if took, want := time.Since(began), 8*time.Second-shutdownReserve-answerReserve; took != want {
			t.Errorf("answered %s after the stop began, want %s", took, want)
		}
		_ = p.caller.Close()
		wait()
	})
}
