package control

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"ledgesill.dev/ledgesill/internal/link"
	"ledgesill.dev/ledgesill/internal/process"
	"ledgesill.dev/ledgesill/pkg/batch"
	"ledgesill.dev/ledgesill/pkg/consensus"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// wordBatches bounds what targets' words take of a replica. A word by itself costs the
// leader a message to each of eight replicas, their answers and a call; in batches of 64
// that is paid once. What is under way is what an operator's document waits behind at
// most: 256 words, 2 ms of a core at 3,000 targets. The spacing is that of updates to
// subscribers (package relay): settled sooner, a word would not be told sooner.
var wordBatches = batch.Config{
	MaxItems:    64,
	MaxUnderWay: 4,
	Quick:       150 * time.Millisecond,
	Spacing:     40 * time.Millisecond,
	LeastLeft:   150 * time.Millisecond,
}

// waitingWord is a target's word whose askers wait for what becomes of it.
type waitingWord struct {
	command *wire.RegistrationCommand
	// deadline is when its first asker gives up. Who joined it later and still waits
	// then tells it again.
	deadline time.Time
	// forwarded tells that another replica has handed it on: it isn't handed on again.
	forwarded bool
	// replies have room for one outcome each.
	replies []chan<- error
}

// wordKey tells a word that comes again while it waits.
type wordKey struct {
	id       string
	born     int64
	sequence uint64
	leave    bool
}

func keyOf(c *wire.RegistrationCommand) wordKey {
	r := c.Registration
	return wordKey{r.Id, r.BornUnixMilli, r.Sequence, c.Leave}
}

// words has targets' words settled by the leader, in batches. A word that is told
// again while it waits is settled once.
type words struct {
	// settle tries to have words settled and returns the outcome of each.
	settle func(ctx context.Context, batch []*waitingWord) []error
	// let is told of words that are let go as their askers had gone.
	let func(count int)

	mu       sync.Mutex
	gatherer *batch.Gatherer[*waitingWord]
	known    map[wordKey]*waitingWord
	// due holds a token when a batch may begin.
	due chan struct{}
}

func newWords() *words {
	return &words{
		gatherer: batch.New[*waitingWord](wordBatches),
		known:    make(map[wordKey]*waitingWord),
		due:      make(chan struct{}, 1),
		let:      func(int) {},
	}
}

// errNotSettled says that no leader settled a word while its asker waited.
var errNotSettled = errors.New("not settled in time")

// tell has a word settled and waits for it until the context ends. The error is that
// of the last try, a batch.BusyError or the context's.
func (w *words) tell(ctx context.Context, c *wire.RegistrationCommand, forwarded bool) error {
	reply, err := w.add(ctx, c, forwarded)
	if err != nil {
		return err
	}
	select {
	case err := <-reply:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// longestAsk bounds how long a word is tried for an asker that names no time.
const longestAsk = 4 * time.Second

// add has a word settled; what becomes of it comes on the channel.
func (w *words) add(ctx context.Context, c *wire.RegistrationCommand, forwarded bool) (<-chan error, error) {
	now := time.Now()
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = now.Add(longestAsk)
	}
	reply := make(chan error, 1)
	w.mu.Lock()
	defer w.mu.Unlock()
	key := keyOf(c)
	if known := w.known[key]; known != nil {
		known.replies = append(known.replies, reply)
		known.forwarded = known.forwarded && forwarded
		return reply, nil
	}
	word := &waitingWord{command: c, deadline: deadline, forwarded: forwarded, replies: []chan<- error{reply}}
	if err := w.gatherer.Add(now, word, deadline); err != nil {
		return nil, err
	}
	w.known[key] = word
	w.wake()
	return reply, nil
}

func (w *words) wake() {
	select {
	case w.due <- struct{}{}:
	default:
	}
}

// run begins batches until the context ends, and waits for those under way.
func (w *words) run(ctx context.Context) error {
	ended := make(chan time.Duration)
	underWay := 0
	for {
		for {
			begin := w.next(time.Now())
			if len(begin) == 0 {
				break
			}
			underWay++
			go func() { ended <- w.carry(ctx, begin) }()
		}
		timer := time.NewTimer(w.untilDue(time.Now()))
		select {
		case <-ctx.Done():
			timer.Stop()
			for range underWay {
				<-ended
			}
			return ctx.Err()
		case <-w.due:
		case <-timer.C:
		case took := <-ended:
			underWay--
			w.noteEnd(took)
		}
		timer.Stop()
	}
}

// next returns the batch to begin now and answers the words that are let go.
func (w *words) next(now time.Time) []*waitingWord {
	w.mu.Lock()
	defer w.mu.Unlock()
	begin, late := w.gatherer.Next(now)
	for _, word := range late {
		w.answer(word, &UnavailableError{Cause: errNotSettled})
	}
	if len(late) > 0 {
		w.let(len(late))
	}
	return begin
}

// restTime is how long nothing is looked for while no word waits.
const restBetweenWords = time.Minute

func (w *words) untilDue(now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	at, ok := w.gatherer.Due()
	if !ok {
		return restBetweenWords
	}
	return at.Sub(now)
}

func (w *words) noteEnd(took time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.gatherer.Ended(took)
}

// answer tells the askers of a word what became of it. Its lock is held.
func (w *words) answer(word *waitingWord, err error) {
	delete(w.known, keyOf(word.command))
	for _, reply := range word.replies {
		reply <- err
	}
}

// carry tries a batch until each word is settled or its askers have gone, and returns
// how long that took.
func (w *words) carry(ctx context.Context, batch []*waitingWord) time.Duration {
	began := time.Now()
	for len(batch) > 0 {
		outcomes := w.try(ctx, batch)
		batch = w.take(ctx, batch, outcomes)
		if len(batch) == 0 {
			break
		}
		select {
		case <-ctx.Done():
		case <-time.After(leaderPause):
		}
	}
	return time.Since(began)
}

// try tries until the last asker has gone.
func (w *words) try(ctx context.Context, batch []*waitingWord) []error {
	last := slices.MaxFunc(batch, func(a, b *waitingWord) int { return a.deadline.Compare(b.deadline) })
	ctx, cancel := context.WithDeadline(ctx, last.deadline)
	defer cancel()
	return w.settle(ctx, batch)
}

// take answers the words that are settled or whose time is over, and returns the
// others.
func (w *words) take(ctx context.Context, batch []*waitingWord, outcomes []error) (left []*waitingWord) {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, word := range batch {
		err := outcomes[i]
		if err != nil && ctx.Err() == nil && !word.forwarded && word.deadline.After(now.Add(leaderPause)) {
			left = append(left, word)
			continue
		}
		if err != nil {
			err = &UnavailableError{Cause: err}
		}
		w.answer(word, err)
	}
	return left
}

// settleWords has the leader settle words, and returns the outcome of each.
func (d *Daemon) settleWords(ctx context.Context, batch []*waitingWord) []error {
	ctx, done := d.leadership.during(ctx)
	defer done()
	v, err := d.replica.view(ctx)
	if err != nil {
		return all(len(batch), err)
	}
	if v.status.Role == consensus.Leader {
		return d.replica.submitWords(ctx, batch)
	}
	address := addressOf(v.membership, v.status.Leader)
	if address == "" {
		return all(len(batch), &consensus.NotLeaderError{})
	}
	return d.handOn(ctx, address, batch)
}

// all returns an error for each of some words.
func all(count int, err error) []error {
	out := make([]error, count)
	for i := range out {
		out[i] = err
	}
	return out
}

// handOn has the leader settle words for this replica. Those that came from another
// one are not handed on again.
func (d *Daemon) handOn(ctx context.Context, leader string, batch []*waitingWord) []error {
	out := all(len(batch), &consensus.NotLeaderError{})
	request := &wire.WordsRequest{}
	var places []int
	now := time.Now()
	for i, word := range batch {
		if word.forwarded {
			continue
		}
		places = append(places, i)
		request.Words = append(request.Words, &wire.WaitingWord{Word: word.command, LeftMilli: word.deadline.Sub(now).Milliseconds()})
	}
	if len(places) == 0 {
		return out
	}
	answer, err := d.node.Call(ctx, leader, &wire.CallRequest{Words: request})
	var earlier *link.RemoteError
	if errors.As(err, &earlier) {
		d.handOnSingly(ctx, leader, batch, out)
		return out
	}
	for n, i := range places {
		out[i] = outcomeOf(answer.GetWords(), n, err)
	}
	return out
}

// handOnSingly hands words on to a leader of an earlier version, which takes no words
// together: one that knows them answers each, and no error for all.
func (d *Daemon) handOnSingly(ctx context.Context, leader string, batch []*waitingWord, out []error) {
	var running sync.WaitGroup
	for i, word := range batch {
		if word.forwarded {
			continue
		}
		running.Go(func() {
			_, out[i] = d.node.Call(ctx, leader, &wire.CallRequest{Submit: &wire.Command{Registration: word.command}})
		})
	}
	running.Wait()
}

// WordRefusedError says why the leader did not settle a word.
type WordRefusedError struct{ Reason string }

// Error implements error.
func (e *WordRefusedError) Error() string { return "the leader did not settle it: " + e.Reason }

func outcomeOf(a *wire.WordsAnswer, place int, err error) error {
	switch {
	case err != nil:
		return err
	case place < len(a.GetSettled()) && a.Settled[place]:
		return nil
	}
	return &WordRefusedError{a.GetFailure()}
}

// serveWords settles words for another replica.
func (d *Daemon) serveWords(ctx context.Context, request *wire.WordsRequest) *wire.CallAnswer {
	out := &wire.WordsAnswer{Settled: make([]bool, len(request.Words))}
	replies := make([]<-chan error, len(request.Words))
	for i, asked := range request.Words {
		if asked.Word.GetRegistration() == nil {
			out.Failure = "a word without content"
			continue
		}
		left := time.Duration(asked.LeftMilli) * time.Millisecond
		asker, cancel := context.WithTimeout(ctx, left)
		reply, err := d.words.add(asker, asked.Word, true)
		cancel() // its deadline is what counts
		if err != nil {
			out.Failure = err.Error()
			continue
		}
		replies[i] = reply
	}
	for i, reply := range replies {
		if reply == nil {
			continue
		}
		select {
		case err := <-reply:
			out.Settled[i] = err == nil
			if err != nil {
				out.Failure = err.Error()
			}
		case <-ctx.Done():
			out.Failure = ctx.Err().Error()
		}
	}
	return &wire.CallAnswer{Words: out}
}

// submitWords has words proposed together and waits for their outcomes until the
// context ends.
func (r *replica) submitWords(ctx context.Context, batch []*waitingWord) []error {
	out := all(len(batch), &UnavailableError{Cause: errNotSettled})
	commands := make([]*wire.Command, len(batch))
	for i, word := range batch {
		commands[i] = &wire.Command{Registration: word.command}
	}
	reply := make(chan wordOutcome, len(batch))
	if err := r.inbox.put(ctx, wordBatch{commands, reply}); err != nil {
		return all(len(batch), err)
	}
	for range batch {
		select {
		case o := <-reply:
			out[o.place] = o.err
		case <-ctx.Done():
			return out
		}
	}
	return out
}

// loopWaits are the buckets of how long inputs wait for the replica's loop, in
// seconds: from one that does not wait to several election timeouts.
var loopWaits = []float64{0.0005, 0.002, 0.01, 0.05, 0.2, 0.6, 1, 3, 10}

// measure gives the loop and the words their metrics.
func (d *Daemon) measure(p *process.Process) {
	waits := p.Histogram("loop_wait_seconds", "How long inputs waited for the replica's loop, by kind.", loopWaits, "kind")
	abandoned := p.Counter("loop_abandoned_total", "Inputs that were dropped as their asker had gone, by kind.", "kind")
	d.replica.waited = func(kind string, wait time.Duration, gone bool) {
		waits.WithLabelValues(kind).Observe(wait.Seconds())
		if gone {
			abandoned.WithLabelValues(kind).Inc()
		}
	}
	late := p.Counter("words_let_go_total", "Words of targets that were let go as their askers had gone.").WithLabelValues()
	d.words.let = func(count int) { late.Add(float64(count)) }
}
