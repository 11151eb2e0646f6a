package pipelining

// Limits are the limits of one connection.
type Limits struct {
	// Started is how many requests may have started without their responses having been written.
	Started int
	// Bytes is how many bytes of responses are buffered.
	Bytes int64
}

// request is one request whose response has not been written.
type request struct {
	head Head
	// position is the number of requests before it when it arrived.
	position int
	// early tells that it was started early, reached that the server serves it or writes its response.
	early   bool
	reached bool
	// reason is why it has not started early.
	reason   Reason
	buffered int64
}

// Queue is the requests of one connection whose responses have not been written, in order. The first
// is being served, or is the next that the server reaches. Requests are identified by sequence
// numbers from zero, in the order of their arrival. It is not safe for concurrent use.
type Queue struct {
	limits   Limits
	budget   *Budget
	requests []*request
	// first is the sequence number of requests[0].
	first    int
	buffered int64
	left     bool
}

// NewQueue returns the queue of a connection on which bytes have arrived behind a request that is
// being served. That request has the sequence number zero.
func NewQueue(l Limits, b *Budget, served Head) *Queue {
	return &Queue{limits: l, budget: b, requests: []*request{{head: served, reached: true}}}
}

// Arrive records the complete head of a further request and returns its sequence number and the
// number of requests before it.
func (q *Queue) Arrive(h Head) (sequence, position int) {
	position = len(q.requests)
	q.requests = append(q.requests, &request{head: h, position: position, reason: Behind})
	return q.first + position, position
}

// StartNext returns the sequence number of a request to start now, and records it as started. It
// reports false if none may start, and records why.
func (q *Queue) StartNext(stopping bool) (int, bool) {
	if q.left || len(q.requests) == 0 {
		return 0, false
	}
	held := obstacleBehind(q.requests[0].head)
	started := 1
	for i, r := range q.requests[1:] {
		if r.early {
			started++
			held = obstacleBehind(r.head)
			continue
		}
		if held != "" {
			r.reason = held
			continue
		}
		r.reason = q.obstacle(r, started, stopping)
		if r.reason == StartedEarly {
			r.early = true
			return q.first + i + 1, true
		}
		if held = obstacleBehind(r.head); held == "" {
			held = r.reason
		}
	}
	return 0, false
}

// obstacle returns why a request may not start that none before it holds back; StartedEarly if it may.
func (q *Queue) obstacle(r *request, started int, stopping bool) Reason {
	switch {
	case r.head.obstacle() != "":
		return r.head.obstacle()
	case stopping:
		return Stopping
	case started >= q.limits.Started:
		return TooMany
	case q.buffered >= q.limits.Bytes:
		return ConnectionBytes
	case q.budget.full():
		return BoxBytes
	}
	return StartedEarly
}

// obstacleBehind returns why no request behind one may start; empty if they may.
func obstacleBehind(h Head) Reason {
	switch {
	case h.obstacle() != "":
		return Behind
	case h.Closes:
		return BehindClosing
	}
	return ""
}

// Buffer reserves bytes of the limits for the response of a request that started early. It reports
// false, and reserves none, if the response must wait until the server reaches its request.
func (q *Queue) Buffer(sequence int, bytes int64) bool {
	r := q.request(sequence)
	if r == nil || r.reached || q.left || q.buffered+bytes > q.limits.Bytes || !q.budget.Reserve(bytes) {
		return false
	}
	r.buffered += bytes
	q.buffered += bytes
	return true
}

// IsFull reports whether the limit on buffered responses keeps further requests from starting, so
// that none should be read.
func (q *Queue) IsFull() bool { return q.buffered >= q.limits.Bytes || q.budget.full() }

// Reached is what the server must know of a request when it reaches it.
type Reached struct {
	// Reason is StartedEarly, or why the request was not started early.
	Reason Reason
	// Position is the number of requests before it when it arrived; zero for none.
	Position int
	// StartedBehind tells that a request behind it has started, so that the connection must not
	// close after its response.
	StartedBehind bool
}

// Reach records that the server has reached the next request. Its response no longer counts as
// buffered. It reports false if there is none whose head has arrived.
func (q *Queue) Reach() (int, Reached, bool) {
	if len(q.requests) == 0 || q.requests[0].reached {
		return 0, Reached{}, false
	}
	r := q.requests[0]
	r.reached = true
	q.release(r)
	return q.first, Reached{Reason: r.reason, Position: r.position, StartedBehind: q.StartedBehind() > 0}, true
}

// StartedBehind returns how many requests behind the first have started.
func (q *Queue) StartedBehind() int {
	n := 0
	for i, r := range q.requests {
		if i > 0 && r.early {
			n++
		}
	}
	return n
}

// Unwritten returns how many requests have started early whose response has not been written.
func (q *Queue) Unwritten() int {
	n := q.StartedBehind()
	if len(q.requests) > 0 && q.requests[0].early {
		n++
	}
	return n
}

// Written records that the response of the request that the server reached last has been written
// and that the connection stays open.
func (q *Queue) Written() {
	if len(q.requests) == 0 || !q.requests[0].reached {
		return
	}
	q.release(q.requests[0])
	q.requests = q.requests[1:]
	q.first++
}

// IsEmpty reports whether no request is left.
func (q *Queue) IsEmpty() bool { return len(q.requests) == 0 }

// Leave records that the connection closes: no request starts and no response is buffered any more.
func (q *Queue) Leave() {
	q.left = true
	for _, r := range q.requests {
		q.release(r)
	}
	q.requests = nil
}

func (q *Queue) release(r *request) {
	q.buffered -= r.buffered
	q.budget.Release(r.buffered)
	r.buffered = 0
}

func (q *Queue) request(sequence int) *request {
	if i := sequence - q.first; i >= 0 && i < len(q.requests) {
		return q.requests[i]
	}
	return nil
}
