package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"ledgesill.dev/ledgesill/internal/bubble"
)

func TestLargeResponsesUseTheirShareOfTheLink(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		const link = 100_000
		s := newShaper(link)
		began := time.Now()
		done := make(chan error, 2)
		for range 2 {
			go func() {
				done <- s.copy(context.Background(), io.Discard, strings.NewReader(strings.Repeat("x", link)), -1)
			}()
		}
		for range 2 {
			if err := <-done; err != nil {
				t.Fatal(err)
			}
		}
		rate := link * largeResponseShare
		least := time.Duration(float64(2*link-2*shapedChunk) / rate * float64(time.Second))
		if took := time.Since(began); took < least {
			t.Fatalf("took %s, want at least %s", took, least)
		}
	})
}

func TestUnlimitedShaperDoesNotWait(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		began := time.Now()
		var out bytes.Buffer
		text := strings.Repeat("x", 1<<20)
		if err := newShaper(0).copy(t.Context(), &out, strings.NewReader(text), -1); err != nil || out.String() != text {
			t.Fatalf("%d bytes, %v", out.Len(), err)
		}
		if time.Since(began) != 0 {
			t.Fatal("an unlimited shaper waited")
		}
	})
}

func TestShaperStopsWhenCanceled(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		s := newShaper(10)
		s.reserve(time.Now(), 1000)
		if err := s.copy(ctx, io.Discard, strings.NewReader("x"), -1); err == nil {
			t.Fatal("copy with a canceled context returned no error")
		}
	})
}

// Responses of known length are sent one after the other, each at the full rate for large responses.
// One whose caller disconnects releases the rest of its reservation.
func TestLargeResponsesAreSentInOrder(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		const link, size = 100_000, 50_000
		s := newShaper(link)
		alone := time.Duration(float64(size) / (link * largeResponseShare) * float64(time.Second))
		began := time.Now()
		ended := make(chan time.Duration, 2)
		send := func(ctx context.Context, wanted error) {
			if err := s.copy(ctx, io.Discard, &zeros{size}, size); !errors.Is(err, wanted) {
				t.Errorf("got %v, want %v", err, wanted)
			}
			ended <- time.Since(began)
		}
		go send(t.Context(), nil)
		synctest.Wait()
		go send(t.Context(), nil)
		first, second := <-ended, <-ended
		if first > alone || second <= alone || second > 2*alone {
			t.Errorf("ended after %s and %s, one alone takes %s", first, second, alone)
		}
		ctx, cancel := context.WithTimeout(t.Context(), alone/10)
		defer cancel()
		go send(ctx, context.DeadlineExceeded)
		<-ended
		if wait := s.reserve(time.Now(), 1); wait > alone/4 {
			t.Errorf("after a response that was canceled at its beginning the next one waits %s", wait)
		}
	})
}
