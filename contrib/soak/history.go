package main

import (
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
)

// verdict is the outcome of a write as its operator saw it.
type verdict int

const (
	// unknown: no conclusive response; the document may or may not be active.
	unknown verdict = iota
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
	return unknown
}

// write is the input of an operation that sends a document.
type write struct{ number, base int }

// read is the input of an operation that reads the document.
type read struct{}

// history records the operators' writes and reads of the routes document and their
// results, to check them for linearizability.
type history struct {
	start      time.Time
	mu         sync.Mutex
	operations []porcupine.Operation
}

func newHistory() *history { return &history{start: time.Now()} }

func (h *history) now() int64 { return int64(time.Since(h.start)) }

// recordWrite adds a write that was called at a time and has returned now.
func (h *history) recordWrite(w write, called int64, v verdict) {
	returned := h.now()
	if v == unknown {
		returned = math.MaxInt64 // it may take effect at any later time
	}
	h.add(porcupine.Operation{Input: w, Output: v, Call: called, Return: returned})
}

// recordRead adds a read that was called at a time and has returned a document now.
func (h *history) recordRead(number int, called int64) {
	h.add(porcupine.Operation{Input: read{}, Output: number, Call: called, Return: h.now()})
}

func (h *history) add(o porcupine.Operation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	o.ClientId = len(h.operations) // a client ID of its own: any operations may overlap
	h.operations = append(h.operations, o)
}

// checkTimeout bounds a check. It suffices, as the history of a run is short.
const checkTimeout = 20 * time.Second

// check reports whether the history is linearizable. A check that exceeds checkTimeout
// counts as failed.
func (h *history) check() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{0} },
		Step: func(state, input, output any) []any { return step(state.(int), input, output) },
	}
	return porcupine.CheckOperationsTimeout(model.ToModel(), h.operations, checkTimeout) == porcupine.Ok
}

// step returns the numbers of the documents that may be active after an operation, none if
// its result is impossible in this state.
func step(active int, input, output any) []any {
	w, isWrite := input.(write)
	if !isWrite {
		if output.(int) == active {
			return []any{active}
		}
		return nil
	}
	fits := w.base == active
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
		return []any{active}
	}
	if fits {
		return []any{active, w.number}
	}
	return []any{active}
}
