package gateway

import (
	"context"
	"io"
	"sync"
	"time"

	"ledgesill.dev/ledgesill/internal/boottime"
)

const (
	// largeResponseShare is the part of the link that long answers take together, so that
	// short ones do not wait behind them; what is let in is bounded by the same
	// part. Each long answer also comes in by the link while it goes out.
	largeResponseShare = 0.4
	// shapedChunk is how much of a long answer is passed on at once: 25 ms of
	// the narrowest link of the users (2.6 Mbit/s).
	shapedChunk = 8 << 10
)

// shaper spreads the bytes of long answers over time. An answer whose length is
// known has the share of the link to itself, in the order in which answers begin:
// of several that share it piece by piece none ends in time, and each holds a slot
// of its target for as long.
type shaper struct {
	// timePerByte is the time that one byte takes; zero for no bound.
	timePerByte time.Duration
	clock       *boottime.Clock
	mu          sync.Mutex
	nextFree    time.Time
}

// newShaper returns a shaper for a link of a number of bytes a second; zero
// for a link without a bound.
func newShaper(linkBytes float64) *shaper {
	if linkBytes <= 0 {
		return &shaper{}
	}
	return &shaper{timePerByte: time.Duration(float64(time.Second) / (linkBytes * largeResponseShare))}
}

// reserve returns how long to wait before a number of bytes may be sent.
func (s *shaper) reserve(now time.Time, bytes int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.nextFree.Before(now) {
		s.nextFree = now
	}
	wait := s.nextFree.Sub(now)
	s.nextFree = s.nextFree.Add(time.Duration(bytes) * s.timePerByte)
	return wait
}

// shapedTransfer is what a shaper lets one long answer do.
type shapedTransfer struct {
	shaper *shaper
	// remaining is how many of the bytes that were booked are still to be sent, and due
	// when the next may be; remaining is zero for an answer of unknown length.
	remaining int64
	nextSend  time.Time
}

// begin has an answer of a number of bytes follow those that were booked before;
// below zero for a length that is not known, whose pieces are booked one by one.
func (s *shaper) begin(now time.Time, bytes int64) *shapedTransfer {
	if bytes <= 0 {
		return &shapedTransfer{shaper: s}
	}
	return &shapedTransfer{shaper: s, remaining: bytes, nextSend: now.Add(s.reserve(now, int(bytes)))}
}

// wait returns how long to wait before a number of bytes may be sent. An answer that
// was held up, by its target or its caller, may catch up with what it booked.
func (p *shapedTransfer) wait(now time.Time, bytes int) time.Duration {
	if p.remaining <= 0 {
		return p.shaper.reserve(now, bytes)
	}
	wait := p.nextSend.Sub(now)
	p.nextSend = p.nextSend.Add(time.Duration(bytes) * p.shaper.timePerByte)
	p.remaining -= int64(bytes)
	return wait
}

// close gives back what was booked and not sent.
func (p *shapedTransfer) close() {
	s := p.shaper
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextFree = s.nextFree.Add(-time.Duration(max(p.remaining, 0)) * s.timePerByte)
}

// copy passes a long answer on, piece by piece. Left is how many bytes are still to
// come, below zero if that is not known.
func (s *shaper) copy(ctx context.Context, to io.Writer, from io.Reader, left int64) error {
	p := s.begin(s.clock.Now(), left)
	defer p.close()
	piece := make([]byte, shapedChunk)
	for {
		n, err := from.Read(piece)
		if n > 0 {
			if err := p.write(ctx, to, piece[:n]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (p *shapedTransfer) write(ctx context.Context, to io.Writer, piece []byte) error {
	if wait := p.wait(p.shaper.clock.Now(), len(piece)); wait > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(wait):
		}
	}
	_, err := to.Write(piece)
	return err
}
