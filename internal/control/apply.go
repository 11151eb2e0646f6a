package control

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"ledgesill.dev/ledgesill/pkg/consensus"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// maxEntriesPerApply is how many committed entries are applied before the loop hears the other
// replicas again: thousands of registration updates that come at once must not keep a leader
// from its heartbeats.
const maxEntriesPerApply = 64

// applyNext applies the committed entries that come next, up to maxApplied.
func (r *replica) applyNext() error {
	n := min(len(r.committed), maxEntriesPerApply)
	if n == 0 {
		return nil
	}
	next := r.committed[:n]
	r.committed = r.committed[n:]
	return r.apply(next)
}

// apply applies entries, those that carry commands together.
func (r *replica) apply(entries []*wire.Entry) error {
	var carried []*wire.Entry
	var commands []*wire.Command
	for _, e := range entries {
		if e.Index <= r.applied || e.Kind != wire.EntryKind_ENTRY_KIND_COMMAND {
			continue
		}
		c := &wire.Command{}
		if err := proto.Unmarshal(e.Data, c); err != nil {
			return fmt.Errorf("decoding committed entry %d: %w", e.Index, err)
		}
		carried = append(carried, e)
		commands = append(commands, c)
	}
	published := r.applyCommands(carried, commands)
	for _, e := range entries {
		r.applied = max(r.applied, e.Index)
		r.answerProposal(e, outcome{version: r.state.Version()}) // those that carry none
	}
	if len(published) > 0 {
		r.publish(r.state, published)
	}
	return nil
}

// applyCommands applies the commands of entries and returns those that changed the
// state, as they are published. A document is published with the text that the
// state holds after it, so that what follows one is applied by itself.
func (r *replica) applyCommands(entries []*wire.Entry, commands []*wire.Command) []*wire.Command {
	var published []*wire.Command
	for len(commands) > 0 {
		n := slices.IndexFunc(commands, func(c *wire.Command) bool { return c.Routes != nil }) + 1
		if n == 0 {
			n = len(commands)
		}
		version := r.state.Version()
		state, results := r.state.ApplyAll(commands[:n])
		r.state = state
		for i, result := range results {
			if result.Changed {
				version++
				published = append(published, publishedCommand(commands[i], r.state))
			}
			r.applied = entries[i].Index
			r.onApplied(commands[i], result)
			r.answerProposal(entries[i], outcome{result: result, version: version})
		}
		entries, commands = entries[n:], commands[n:]
	}
	return published
}

func (r *replica) answerProposal(e *wire.Entry, o outcome) {
	w, ok := r.waiting[e.Index]
	if !ok {
		return
	}
	delete(r.waiting, e.Index)
	if w.term != e.Term {
		o = outcome{err: &LeadershipLostError{}}
	}
	w.reply(o)
}

// failWaiting answers proposals that a deposed leader can no longer settle; those
// that are committed are answered when they are applied.
func (r *replica) failWaiting() {
	settled := r.applied
	if n := len(r.committed); n > 0 {
		settled = r.committed[n-1].Index
	}
	for index, w := range r.waiting {
		if index > settled {
			delete(r.waiting, index)
			w.reply(outcome{err: &LeadershipLostError{}})
		}
	}
}

// answerReads answers the reads whose state is applied.
func (r *replica) answerReads() {
	r.readsDue = slices.DeleteFunc(r.readsDue, func(a consensus.ReadResult) bool {
		if a.Err == nil && a.Index > r.applied && len(r.committed) > 0 {
			return false
		}
		if reply := r.reads[a.Token]; reply != nil {
			reply <- readOutcome{r.state, a.Err}
		}
		delete(r.reads, a.Token)
		return true
	})
}
