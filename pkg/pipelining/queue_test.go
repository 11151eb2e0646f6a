package pipelining_test

import (
	"testing"

	"ledgesill.dev/ledgesill/pkg/pipelining"
)

var limits = pipelining.Limits{Started: 3, Bytes: 100}

func get() pipelining.Head { return pipelining.Head{Method: "GET", Major: 1, Minor: 1} }

func with(change func(h *pipelining.Head)) pipelining.Head {
	h := get()
	change(&h)
	return h
}

// newQueue returns a queue of a request that is being served and others that have arrived.
func newQueue(b *pipelining.Budget, served pipelining.Head, heads ...pipelining.Head) *pipelining.Queue {
	q := pipelining.NewQueue(limits, b, served)
	for _, h := range heads {
		q.Arrive(h)
	}
	return q
}

// start starts what may start and returns the sequence numbers.
func start(q *pipelining.Queue, stopping bool) (started []int) {
	for {
		n, ok := q.StartNext(stopping)
		if !ok {
			return started
		}
		started = append(started, n)
	}
}

// Guards against requests that start early though one of the rules forbids it, and against a metric
// that names another rule.
func TestOnlyRequestsWithoutObstacleStart(t *testing.T) {
	closing := with(func(h *pipelining.Head) { h.Closes = true })
	for name, c := range map[string]struct {
		served, second, third     pipelining.Head
		stopping                  bool
		started                   int
		secondReason, thirdReason pipelining.Reason
	}{
		"gets":           {get(), get(), get(), false, 2, pipelining.StartedEarly, pipelining.StartedEarly},
		"head":           {get(), with(func(h *pipelining.Head) { h.Method = "HEAD" }), get(), false, 2, pipelining.StartedEarly, pipelining.StartedEarly},
		"post":           {get(), with(func(h *pipelining.Head) { h.Method = "POST" }), get(), false, 0, pipelining.NotRepeatable, pipelining.Behind},
		"post served":    {with(func(h *pipelining.Head) { h.Method = "POST" }), get(), get(), false, 0, pipelining.Behind, pipelining.Behind},
		"body":           {get(), with(func(h *pipelining.Head) { h.ContentLength = 1 }), get(), false, 0, pipelining.NotRepeatable, pipelining.Behind},
		"chunked":        {get(), with(func(h *pipelining.Head) { h.Chunked = true }), get(), false, 0, pipelining.NotRepeatable, pipelining.Behind},
		"expect":         {get(), with(func(h *pipelining.Head) { h.Expects = true }), get(), false, 0, pipelining.NotRepeatable, pipelining.Behind},
		"upgrade":        {get(), with(func(h *pipelining.Head) { h.Upgrades = true }), get(), false, 0, pipelining.NotRepeatable, pipelining.Behind},
		"unrepeatable":   {get(), with(func(h *pipelining.Head) { h.Unrepeatable = true }), get(), false, 0, pipelining.NotRepeatable, pipelining.Behind},
		"HTTP/1.0":       {get(), with(func(h *pipelining.Head) { h.Minor = 0 }), get(), false, 0, pipelining.NotRepeatable, pipelining.Behind},
		"malformed":      {get(), with(func(h *pipelining.Head) { h.Malformed = true }), get(), false, 0, pipelining.Malformed, pipelining.Behind},
		"closes":         {get(), closing, get(), false, 1, pipelining.StartedEarly, pipelining.BehindClosing},
		"closing served": {closing, get(), get(), false, 0, pipelining.BehindClosing, pipelining.BehindClosing},
		"stopping":       {get(), get(), get(), true, 0, pipelining.Stopping, pipelining.Stopping},
	} {
		q := newQueue(pipelining.NewBudget(1000), c.served, c.second, c.third)
		if got := start(q, c.stopping); len(got) != c.started {
			t.Errorf("%s: %v started, want %d", name, got, c.started)
		}
		for i, want := range []pipelining.Reason{c.secondReason, c.thirdReason} {
			q.Written()
			if n, r, ok := q.Reach(); !ok || n != i+1 || r.Reason != want || r.Position != i+1 {
				t.Errorf("%s: reached %d, %+v, %v, want reason %s", name, n, r, ok, want)
			}
		}
	}
}

// Guards against more started requests than allowed, and against a limit that is never free again.
func TestStartedRequestsAreLimited(t *testing.T) {
	q := newQueue(pipelining.NewBudget(1000), get(), get(), get(), get(), get())
	if got := start(q, false); len(got) != 2 {
		t.Fatalf("%v started", got)
	}
	if q.Unwritten() != 2 {
		t.Errorf("%d are unwritten", q.Unwritten())
	}
	q.Written()
	if _, r, _ := q.Reach(); r.Reason != pipelining.StartedEarly || !r.StartedBehind {
		t.Errorf("reached %+v", r)
	}
	if got := start(q, false); len(got) != 1 || got[0] != 3 {
		t.Errorf("%v started after a response, want [3]", got)
	}
	for range 4 {
		q.Written()
		q.Reach()
	}
	if q.Written(); !q.IsEmpty() || q.Unwritten() != 0 {
		t.Error("requests are left")
	}
}

// Guards against a request that starts early though the server is about to reach it.
func TestNextRequestIsLeftToServer(t *testing.T) {
	q := newQueue(pipelining.NewBudget(1000), with(func(h *pipelining.Head) { h.Method = "POST" }), get(), get())
	q.Written()
	if got := start(q, false); len(got) != 1 || got[0] != 2 {
		t.Errorf("%v started, want [2]", got)
	}
}

// Guards against buffers beyond the limits of a connection or of the box, and against bytes that stay
// reserved.
func TestBuffersAreLimited(t *testing.T) {
	box := pipelining.NewBudget(150)
	one := newQueue(box, get(), get(), get(), get())
	other := newQueue(box, get(), get(), get())
	start(one, false)
	start(other, false)
	if !one.Buffer(1, 60) || one.Buffer(2, 41) || !one.Buffer(2, 40) || !one.IsFull() {
		t.Error("the limit of the connection does not hold")
	}
	if other.Buffer(1, 51) || !other.Buffer(1, 50) || !other.IsFull() || box.Used() != 150 {
		t.Errorf("the limit of the box does not hold: %d bytes", box.Used())
	}
	one.Written()
	if _, _, ok := one.Reach(); !ok || one.Buffer(1, 1) || box.Used() != 90 {
		t.Errorf("%d bytes are reserved after a response was reached", box.Used())
	}
	other.Leave()
	if box.Used() != 40 || other.Buffer(1, 1) || len(start(other, false)) != 0 {
		t.Errorf("%d bytes are reserved after a caller left", box.Used())
	}
}

// Guards against requests that start while no more responses may be buffered.
func TestNoneStartsWhileBuffersAreFull(t *testing.T) {
	box := pipelining.NewBudget(120)
	q := newQueue(box, get(), get())
	start(q, false)
	q.Buffer(1, 100)
	q.Arrive(get())
	if got := start(q, false); len(got) != 0 {
		t.Errorf("%v started at the limit of the connection", got)
	}
	other := newQueue(box, get(), get())
	start(other, false)
	other.Buffer(1, 20)
	other.Arrive(get())
	if got := start(other, false); len(got) != 0 {
		t.Errorf("%v started at the limit of the box", got)
	}
}
