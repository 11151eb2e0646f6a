package main

import (
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
)

// verdict is what an operator was told of a document.
type verdict int

const (
	// unclear: no clear answer came, the document may or may not be in force.
	unclear verdict = iota
	accepted
	refused
)

func verdictOf(status int) verdict {
	switch {
	case status == http.StatusOK:
		return accepted
	case status >= http.StatusBadRequest && status < http.StatusInternalServerError:
		return refused
	}
	return unclear
}

// write is a document that an operator sent; read is one that was read.
type write struct{ number, base int }

type read struct{}

// history keeps what operators did with the document of routes and what they
// were told, to be checked for linearizability.
type history struct {
	began time.Time
	mu    sync.Mutex
	done  []porcupine.Operation
}

func newHistory() *history { return &history{began: time.Now()} }

func (h *history) now() int64 { return int64(time.Since(h.began)) }

// wrote notes a write that was called at a time and has got its verdict.
func (h *history) wrote(w write, called int64, v verdict) {
	returned := h.now()
	if v == unclear {
		returned = math.MaxInt64 // it may take effect at any later time
	}
	h.add(porcupine.Operation{Input: w, Output: v, Call: called, Return: returned})
}

// readNumber notes a read that was called at a time and gave a document.
func (h *history) readNumber(number int, called int64) {
	h.add(porcupine.Operation{Input: read{}, Output: number, Call: called, Return: h.now()})
}

func (h *history) add(o porcupine.Operation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	o.ClientId = len(h.done) // operations may overlap as they like
	h.done = append(h.done, o)
}

// checkTime bounds a check; histories of a run are short.
const checkTime = 20 * time.Second

// check reports whether some order of the operations explains all that was told;
// a check that does not end in its time counts as failed.
func (h *history) check() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{0} },
		Step: func(state, input, output any) []any { return step(state.(int), input, output) },
	}
	return porcupine.CheckOperationsTimeout(model.ToModel(), h.done, checkTime) == porcupine.Ok
}

// step returns the numbers that may be in force after an operation; none if it
// can't have been told what it was.
func step(inForce int, input, output any) []any {
	w, isWrite := input.(write)
	if !isWrite {
		if output.(int) == inForce {
			return []any{inForce}
		}
		return nil
	}
	fits := w.base == inForce
	switch output.(verdict) {
	case accepted:
		if fits {
			return []any{w.number}
		}
		return nil
	case refused:
		if fits {
			return nil
		}
		return []any{inForce}
	}
	if fits {
		return []any{inForce, w.number}
	}
	return []any{inForce}
}
