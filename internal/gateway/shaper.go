package gateway

import (
	"context"
	"io"
	"sync"
	"time"
)

const (
	// shapedShare is the part of the link on which long answers go out, so that
	// short ones do not wait behind them. Each long answer also comes in by the
	// link; measured on 4 Mbit/s, 0.3 served short requests better than 0.7.
	shapedShare = 0.35
	// shapedPiece is how much of a long answer is passed on at once: 16 ms of
	// the narrowest link of the users (4 Mbit/s).
	shapedPiece = 8 << 10
)

// shaper spreads the bytes of long answers over time.
type shaper struct {
	// perByte is the time that one byte takes; zero for no bound.
	perByte time.Duration
	mu      sync.Mutex
	free    time.Time
}

// newShaper returns a shaper for a link of a number of bytes a second; zero
// for a link without a bound.
func newShaper(linkBytes float64) *shaper {
	if linkBytes <= 0 {
		return &shaper{}
	}
	return &shaper{perByte: time.Duration(float64(time.Second) / (linkBytes * shapedShare))}
}

// reserve returns how long to wait before a number of bytes may be sent.
func (s *shaper) reserve(now time.Time, bytes int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.free.Before(now) {
		s.free = now
	}
	wait := s.free.Sub(now)
	s.free = s.free.Add(time.Duration(bytes) * s.perByte)
	return wait
}

// copy passes a long answer on, piece by piece.
func (s *shaper) copy(ctx context.Context, to io.Writer, from io.Reader) error {
	piece := make([]byte, shapedPiece)
	for {
		n, err := from.Read(piece)
		if n > 0 {
			if err := s.write(ctx, to, piece[:n]); err != nil {
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

func (s *shaper) write(ctx context.Context, to io.Writer, piece []byte) error {
	if wait := s.reserve(time.Now(), len(piece)); wait > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(wait):
		}
	}
	_, err := to.Write(piece)
	return err
}
