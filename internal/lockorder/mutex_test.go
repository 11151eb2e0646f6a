package lockorder

import (
	"errors"
	"fmt"
	"os"
	"testing"
)

func TestMain(m *testing.M) {
	Check()
	os.Exit(m.Run())
}

// acquire acquires and releases locks nested in each other and returns the violation.
func acquire(locks ...*Mutex) (violation *OrderError) {
	defer func() {
		if err, ok := recover().(error); ok && !errors.As(err, &violation) {
			panic(err)
		}
	}()
	for _, m := range locks {
		m.Lock()
		defer m.Unlock()
	}
	return nil
}

func TestOrder(t *testing.T) {
	outer, inner, other := &Mutex{Rank: Balancing}, &Mutex{}, &Mutex{}
	for name, test := range map[string]struct {
		locks []*Mutex
		want  *OrderError
	}{
		"in order":       {[]*Mutex{outer, inner}, nil},
		"out of order":   {[]*Mutex{inner, outer}, &OrderError{Held: Leaf, Acquired: Balancing}},
		"of equal ranks": {[]*Mutex{inner, other}, &OrderError{Held: Leaf, Acquired: Leaf}},
		"the same twice": {[]*Mutex{outer, outer}, &OrderError{Held: Balancing, Acquired: Balancing}},
	} {
		got := acquire(test.locks...)
		if fmt.Sprint(got) != fmt.Sprint(test.want) {
			t.Errorf("%s: %v, want %v", name, got, test.want)
		}
	}
	if len(held.byGoroutine) > 0 {
		t.Errorf("locks that were released are still held: %v", held.byGoroutine)
	}
}

func ExampleMutex() {
	balancing, limits := Mutex{Rank: Balancing}, Mutex{}
	balancing.Lock()
	limits.Lock()
	fmt.Println("Leaf may be acquired by the holder of Balancing, not the other way round.")
	limits.Unlock()
	balancing.Unlock()
	// Output: Leaf may be acquired by the holder of Balancing, not the other way round.
}
