package gateway

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

func TestLongAnswersTakeTheirShareOfTheLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const link = 100_000
		s := newShaper(link)
		began := time.Now()
		done := make(chan error, 2)
		for range 2 {
			go func() {
				done <- s.copy(context.Background(), io.Discard, strings.NewReader(strings.Repeat("x", link)))
			}()
		}
		for range 2 {
			if err := <-done; err != nil {
				t.Fatal(err)
			}
		}
		rate := link * shapedShare
		least := time.Duration(float64(2*link-2*shapedPiece) / rate * float64(time.Second))
		if took := time.Since(began); took < least {
			t.Fatalf("took %s, at least %s is due", took, least)
		}
	})
}

func TestShaperWithoutBoundDoesNotWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		var out bytes.Buffer
		text := strings.Repeat("x", 1<<20)
		if err := newShaper(0).copy(t.Context(), &out, strings.NewReader(text)); err != nil || out.String() != text {
			t.Fatalf("%d bytes, %v", out.Len(), err)
		}
		if time.Since(began) != 0 {
			t.Fatal("it waited")
		}
	})
}

func TestShaperEndsWithItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		s := newShaper(10)
		s.reserve(time.Now(), 1000)
		if err := s.copy(ctx, io.Discard, strings.NewReader("x")); err == nil {
			t.Fatal("no error")
		}
	})
}
