package rollout

import (
	"cmp"
	"maps"
	"slices"

	"ledgesill.dev/ledgesill/pkg/wire"
)

// Counts are numbers of responses on one route. It is an immutable value.
type Counts struct {
	// Answers are the responses of the target version, and Bad those that were failures or slow.
	// PreviousAnswers and PreviousBad are those of the other versions.
	Answers         uint64
	Bad             uint64
	PreviousAnswers uint64
	PreviousBad     uint64
	// Failed and PreviousFailed are the failures among the bad responses.
	Failed         uint64
	PreviousFailed uint64
	// Objects is how many different objects the responses of the target version were about. A target
	// that responds about an object for the first time has not cached it and takes longer.
	Objects uint64
	// BadTargets divides Bad by target.
	BadTargets map[string]uint64
}

// With returns the sum with other counts.
func (c Counts) With(other Counts) Counts {
	c.Answers += other.Answers
	c.Bad += other.Bad
	c.PreviousAnswers += other.PreviousAnswers
	c.PreviousBad += other.PreviousBad
	c.Failed += other.Failed
	c.PreviousFailed += other.PreviousFailed
	c.Objects += other.Objects
	if len(other.BadTargets) == 0 {
		return c
	}
	sum := make(map[string]uint64, len(c.BadTargets)+len(other.BadTargets))
	maps.Copy(sum, c.BadTargets)
	for target, n := range other.BadTargets {
		sum[target] += n
	}
	c.BadTargets = sum
	return c
}

// Since returns the counts without those of an earlier state of the same counters.
func (c Counts) Since(earlier Counts) Counts {
	out := Counts{
		Answers:         c.Answers - min(earlier.Answers, c.Answers),
		Bad:             c.Bad - min(earlier.Bad, c.Bad),
		PreviousAnswers: c.PreviousAnswers - min(earlier.PreviousAnswers, c.PreviousAnswers),
		PreviousBad:     c.PreviousBad - min(earlier.PreviousBad, c.PreviousBad),
		Failed:          c.Failed - min(earlier.Failed, c.Failed),
		PreviousFailed:  c.PreviousFailed - min(earlier.PreviousFailed, c.PreviousFailed),
	}
	for target, n := range c.BadTargets {
		if n <= earlier.BadTargets[target] {
			continue
		}
		if out.BadTargets == nil {
			out.BadTargets = make(map[string]uint64)
		}
		out.BadTargets[target] = n - earlier.BadTargets[target]
	}
	return out
}

// badOfWorst returns the bad responses of the targets with most of them.
func (c Counts) badOfWorst(targets int) (bad uint64) {
	counts := slices.SortedFunc(maps.Values(c.BadTargets), func(a, b uint64) int { return cmp.Compare(b, a) })
	for _, n := range counts[:min(targets, len(counts))] {
		bad += n
	}
	return bad
}

// CountsOf returns the counts in a message.
func CountsOf(m *wire.RouteEvidence) Counts {
	c := Counts{
		Answers: m.Answers, Bad: m.Bad, PreviousAnswers: m.PreviousAnswers, PreviousBad: m.PreviousBad, Failed: m.Failed, PreviousFailed: m.PreviousFailed,
	}
	for _, t := range m.BadTargets {
		if c.BadTargets == nil {
			c.BadTargets = make(map[string]uint64, len(m.BadTargets))
		}
		c.BadTargets[t.Target] = t.Count
	}
	return c
}

// message returns the counts as a message about a route, with the worst targets if there are many.
func (c Counts) message(route string) *wire.RouteEvidence {
	m := &wire.RouteEvidence{
		Route: route, Answers: c.Answers, Bad: c.Bad, PreviousAnswers: c.PreviousAnswers, PreviousBad: c.PreviousBad,
		Failed: c.Failed, PreviousFailed: c.PreviousFailed,
	}
	names := slices.SortedFunc(maps.Keys(c.BadTargets), func(a, b string) int {
		return cmp.Or(cmp.Compare(c.BadTargets[b], c.BadTargets[a]), cmp.Compare(a, b))
	})
	for _, name := range names[:min(len(names), maxBadTargets)] {
		m.BadTargets = append(m.BadTargets, &wire.TargetCount{Target: name, Count: c.BadTargets[name]})
	}
	return m
}
