package control

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"ledgesill.dev/ledgesill/pkg/consensus"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// maxEntriesPerApply bounds how many committed entries are applied before the loop reads messages
// of other replicas again. Thousands of registration updates that arrive at once must not keep a
// leader from sending heartbeats.
const maxEntriesPerApply = 64

// applyNext applies the next committed entries, at most maxEntriesPerApply.
func (r *replica) applyNext() error {
	n := min(len(r.committed), maxEntriesPerApply)
	if n == 0 {
		return nil
	}
	next := r.committed[:n]
	r.committed = r.committed[n:]
	return r.apply(next)
}

// apply applies entries. Commands of several entries are applied in one call.
func (r *replica) apply(entries []*wire.Entry) error {
	var withCommands []*wire.Entry
	var commands []*wire.Command
	for _, e := range entries {
		if e.Index <= r.applied || e.Kind != wire.EntryKind_ENTRY_KIND_COMMAND {
			continue
		}
		c := &wire.Command{}
		if err := proto.Unmarshal(e.Data, c); err != nil {
			return fmt.Errorf("decoding committed entry %d: %w", e.Index, err)
		}
		withCommands = append(withCommands, e)
		commands = append(commands, c)
	}
	published := r.applyCommands(withCommands, commands)
	for _, e := range entries {
		r.applied = max(r.applied, e.Index)
		r.loggedBytes += len(e.Data)
		r.answerProposal(e, outcome{version: r.state.Version()}) // entries without a command
	}
	if len(published) > 0 {
		r.publish(r.state, published)
	}
	return nil
}

// applyCommands applies the commands of entries and returns those that changed the state, in the
// form in which they are published. A routes document is published with the text that the state
// holds after it, so the commands are applied in groups that end at a command with a document.
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
	proposal, ok := r.waiting[e.Index]
	if !ok {
		return
	}
	delete(r.waiting, e.Index)
	if proposal.term != e.Term {
		o = outcome{err: &LeadershipLostError{}}
	}
	proposal.reply(o)
}

// failWaiting fails proposals that a deposed leader can no longer commit. Those already committed
// are answered when they are applied.
func (r *replica) failWaiting() {
	lastCommitted := r.applied
	if n := len(r.committed); n > 0 {
		lastCommitted = r.committed[n-1].Index
	}
	for index, proposal := range r.waiting {
		if index > lastCommitted {
			delete(r.waiting, index)
			proposal.reply(outcome{err: &LeadershipLostError{}})
		}
	}
}

// answerReads answers the reads for which enough entries have been applied.
func (r *replica) answerReads() {
	r.readsDue = slices.DeleteFunc(r.readsDue, func(result consensus.ReadResult) bool {
		if result.Err == nil && result.Index > r.applied && len(r.committed) > 0 {
			return false
		}
		if reply := r.reads[result.Token]; reply != nil {
			reply <- readOutcome{r.state, result.Err}
		}
		delete(r.reads, result.Token)
		return true
	})
}
