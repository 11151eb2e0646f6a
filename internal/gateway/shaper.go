package gateway

import (
	"context"
	"io"
	"time"

	"ledgesill.dev/ledgesill/internal/boottime"
	"ledgesill.dev/ledgesill/internal/lockorder"
)

const (
	// largeResponseShare is the fraction of the link that large responses use together, so that
	// small ones do not wait behind them; admission is bounded by the same fraction. Each large
	// response crosses the link twice, from the target and to the caller.
	largeResponseShare = 0.4
	// shapedChunk is the size of the chunks in which large responses are sent: 25 ms of the
	// narrowest link of the users (2.6 Mbit/s).
	shapedChunk = 8 << 10
)

// shaper limits the rate of large responses. A response of known length gets the whole share of the
// link, in the order in which responses begin: if several shared it chunk by chunk, none would end
// in time, and each would occupy a slot of its target for as long.
type shaper struct {
	// timePerByte is the time that one byte takes; zero means unlimited.
	timePerByte time.Duration
	clock       *boottime.Clock
	mu          lockorder.Mutex
	nextFree    time.Time
}

// newShaper returns a shaper for a link of linkBytes bytes per second; zero means an unlimited
// link.
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

// shapedTransfer is the transfer of one large response.
type shapedTransfer struct {
	shaper *shaper
	// remaining is how many reserved bytes are still to be sent, and nextSend when the next may be.
	// remaining is zero for a response of unknown length.
	remaining int64
	nextSend  time.Time
}

// begin reserves the link for a response after the earlier ones. A length below zero means unknown:
// its chunks are reserved one by one.
func (s *shaper) begin(now time.Time, bytes int64) *shapedTransfer {
	if bytes <= 0 {
		return &shapedTransfer{shaper: s}
	}
	return &shapedTransfer{shaper: s, remaining: bytes, nextSend: now.Add(s.reserve(now, int(bytes)))}
}

// wait returns how long to wait before a number of bytes may be sent. A response that was delayed
// by its target or its caller may catch up with its reservation.
func (p *shapedTransfer) wait(now time.Time, bytes int) time.Duration {
	if p.remaining <= 0 {
		return p.shaper.reserve(now, bytes)
	}
	wait := p.nextSend.Sub(now)
	p.nextSend = p.nextSend.Add(time.Duration(bytes) * p.shaper.timePerByte)
	p.remaining -= int64(bytes)
	return wait
}

// close releases what was reserved and not sent.
func (p *shapedTransfer) close() {
	s := p.shaper
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextFree = s.nextFree.Add(-time.Duration(max(p.remaining, 0)) * s.timePerByte)
}

// copy forwards a large response chunk by chunk. left is the number of bytes still to come, below
// zero if unknown.
func (s *shaper) copy(ctx context.Context, to io.Writer, from io.Reader, left int64) error {
	p := s.begin(s.clock.Now(), left)
	defer p.close()
	chunk := make([]byte, shapedChunk)
	for {
		n, err := from.Read(chunk)
		if n > 0 {
			if err := p.write(ctx, to, chunk[:n]); err != nil {
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

// pace waits until a number of bytes of a large response may be sent that another box forwards.
func (s *shaper) pace(ctx context.Context, bytes int) error {
	wait := s.reserve(s.clock.Now(), bytes)
	if wait <= 0 {
		return nil
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(wait):
		return nil
	}
}

func (p *shapedTransfer) write(ctx context.Context, to io.Writer, chunk []byte) error {
	if wait := p.wait(p.shaper.clock.Now(), len(chunk)); wait > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(wait):
		}
	}
	_, err := to.Write(chunk)
	return err
}
