package quota

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// NoLimit is the limit of a target that names none.
var NoLimit = math.Inf(1)

// ParseLimit reads the limit that a target names: requests a second, a decimal number.
func ParseLimit(text string) (perSecond float64, ok bool) {
	n, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	return n, err == nil && n >= 0 && n < NoLimit
}

// TargetLimit is what one life of a target said, in one answer, of how many requests a
// second it takes from all boxes together. It said so after Sent, when the request that
// it answered was sent, and before Heard, when the answer had come.
type TargetLimit struct {
	Life      string
	PerSecond float64
	Sent      time.Time
	Heard     time.Time
}

// Named reports whether the target named a limit.
func (l TargetLimit) Named() bool { return l.PerSecond < NoLimit }

// leastRaise is the part by which a limit must rise to count as changed. A target that
// reckons its limit anew for each answer would have each told to all boxes.
const leastRaise = 0.1

// With returns what is known of the limit once a further word of the target has come.
// Answers that ran beside each other come in any order: of two words of which either may
// be the later one the lower limit holds.
func (l TargetLimit) With(word TargetLimit) TargetLimit {
	switch {
	case !word.Sent.Before(l.Heard):
		if word.PerSecond > l.PerSecond && word.PerSecond <= l.PerSecond*(1+leastRaise) {
			word.PerSecond = l.PerSecond
		}
		return word
	case !word.Heard.After(l.Sent):
		return l
	case word.PerSecond < l.PerSecond:
		return word
	case word.PerSecond > l.PerSecond:
		return l
	}
	l.Sent = laterOf(l.Sent, word.Sent)
	l.Heard = laterOf(l.Heard, word.Heard)
	return l
}

func laterOf(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

// relaySlack is how much earlier than told a relayed word may have been said: it waited
// on its way, which its ages don't count.
const relaySlack = 300 * time.Millisecond

// Relayed returns a word as who is told of it by another process may take it.
func (l TargetLimit) Relayed() TargetLimit {
	l.Sent = l.Sent.Add(-relaySlack)
	return l
}

// TargetLimits is what a process knows of the limits of targets. It is not safe for
// concurrent use.
type TargetLimits struct {
	known map[string]knownLimit
	// changes counts the changes of limits.
	changes uint64
}

// knownLimit is what is known of one target, and the number of the change that led to it.
type knownLimit struct {
	TargetLimit
	change uint64
}

// NewTargetLimits returns limits of no target.
func NewTargetLimits() *TargetLimits { return &TargetLimits{known: make(map[string]knownLimit)} }

// LimitChange is a limit that was named, changed or taken back.
type LimitChange struct {
	Life   string
	Before float64
	After  float64
}

// Take takes a word of a target and reports whether it changed the limit.
func (t *TargetLimits) Take(word TargetLimit) (c LimitChange, changed bool) {
	before, known := t.known[word.Life]
	if !known {
		if !word.Named() {
			return c, false
		}
		before = knownLimit{TargetLimit: TargetLimit{Life: word.Life, PerSecond: NoLimit}}
	}
	next := knownLimit{before.With(word), before.change}
	changed = next.PerSecond != before.PerSecond
	if changed {
		t.changes++
		next.change = t.changes
	}
	t.known[word.Life] = next
	return LimitChange{word.Life, before.PerSecond, next.PerSecond}, changed
}

// Of returns what is known of a target; without a limit for one that has said nothing.
func (t *TargetLimits) Of(life string) TargetLimit {
	if k, ok := t.known[life]; ok {
		return k.TargetLimit
	}
	return TargetLimit{Life: life, PerSecond: NoLimit}
}

// Named returns how many targets name limits.
func (t *TargetLimits) Named() (n int) {
	for _, k := range t.known {
		if k.Named() {
			n++
		}
	}
	return n
}

// Since returns the words of targets whose limits changed after a change, and the number
// of the last one.
func (t *TargetLimits) Since(change uint64) (words []TargetLimit, last uint64) {
	if change >= t.changes {
		return nil, t.changes
	}
	for _, k := range t.known {
		if k.change > change {
			words = append(words, k.TargetLimit)
		}
	}
	return words, t.changes
}

// Keep forgets targets whose lives are over, and limits that were taken back so long ago
// that no answer of before is under way.
func (t *TargetLimits) Keep(now time.Time, lives func(life string) bool) {
	for life, k := range t.known {
		ago := now.Sub(k.Heard)
		if !lives(life) && ago > registrationTime || !k.Named() && ago > takenBackMemory {
			delete(t.known, life)
		}
	}
}

const (
	// registrationTime is within how long a target that another box has met is registered
	// here too.
	registrationTime = 10 * time.Second
	// takenBackMemory is longer than any request is under way.
	takenBackMemory = 10 * time.Minute
)
