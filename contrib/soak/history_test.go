package main

import (
	"testing"

	"github.com/anishathalye/porcupine"
)

// Guards against a check that accepts impossible histories of the document, or rejects
// possible ones.
func TestHistoryIsChecked(t *testing.T) {
	put := func(number, base int, v verdict, call, end int64) porcupine.Operation {
		return porcupine.Operation{Input: write{number, base}, Output: v, Call: call, Return: end}
	}
	get := func(number int, call, end int64) porcupine.Operation {
		return porcupine.Operation{Input: read{}, Output: number, Call: call, Return: end}
	}
	const never = 1 << 60
	tests := []struct {
		name string
		done []porcupine.Operation
		want bool
	}{
		{"one after the other", []porcupine.Operation{put(1, 0, accepted, 0, 1), get(1, 2, 3), put(2, 1, accepted, 4, 5), get(2, 6, 7)}, true},
		{"an old read", []porcupine.Operation{put(1, 0, accepted, 0, 1), put(2, 1, accepted, 2, 3), get(1, 4, 5)}, false},
		{"two winners of a race", []porcupine.Operation{put(1, 0, accepted, 0, 1), put(2, 1, accepted, 2, 6), put(3, 1, accepted, 3, 6)}, false},
		{"one winner of a race", []porcupine.Operation{put(1, 0, accepted, 0, 1), put(2, 1, refused, 2, 6), put(3, 1, accepted, 3, 6)}, true},
		{"refused despite the right base", []porcupine.Operation{put(1, 0, accepted, 0, 1), put(2, 1, refused, 2, 3)}, false},
		{"unknown, seen later", []porcupine.Operation{put(1, 0, unknown, 0, never), get(0, 2, 3), get(1, 4, 5)}, true},
		{"unknown, seen and gone", []porcupine.Operation{put(1, 0, unknown, 0, never), get(1, 2, 3), get(0, 4, 5)}, false},
	}
	for _, test := range tests {
		h := newHistory()
		for _, o := range test.done {
			h.add(o)
		}
		if got := h.check(); got != test.want {
			t.Errorf("%s: linearizable: %t, want %t", test.name, got, test.want)
		}
	}
}
