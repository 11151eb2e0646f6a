package journal_test

import (
	"errors"
	"fmt"
	"os"

	"ledgesill.dev/ledgesill/pkg/journal"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// store appends an entry, as a replica does before it acknowledges the entry.
func store(dir string) error {
	j, _, err := journal.Open(dir, "replica", journal.OSFiles())
	if err != nil {
		return err
	}
	err = j.Append(&wire.HardState{Term: 1}, []*wire.Entry{{Index: 1, Term: 1, Data: []byte("hello")}})
	return errors.Join(err, j.Close())
}

// ExampleOpen recovers what was stored before.
func ExampleOpen() {
	dir, err := os.MkdirTemp("", "journal")
	if err != nil {
		fmt.Println(err)
		return
	}
	defer os.RemoveAll(dir)
	if err := store(dir); err != nil {
		fmt.Println(err)
		return
	}
	j, found, err := journal.Open(dir, "replica", journal.OSFiles())
	if err != nil {
		fmt.Println(err) // a DamageError if the stored data is damaged
		return
	}
	fmt.Println("fresh", found.Fresh, "term", found.HardState.Term, "data", string(found.Entries[0].Data))
	if err := j.Close(); err != nil {
		fmt.Println(err)
	}
	// Output: fresh false term 1 data hello
}
