package journal_test

import (
	"errors"
	"fmt"
	"os"

	"ledgesill.dev/ledgesill/pkg/journal"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// store keeps an entry as a replica does before it acknowledges it.
func store(folder string) error {
	j, _, err := journal.Open(folder, "replica", journal.OSFiles())
	if err != nil {
		return err
	}
	err = j.Append(&wire.HardState{Term: 1}, []*wire.Entry{{Index: 1, Term: 1, Data: []byte("hello")}})
	return errors.Join(err, j.Close())
}

// ExampleOpen finds what was stored before.
func ExampleOpen() {
	folder, err := os.MkdirTemp("", "journal")
	if err != nil {
		fmt.Println(err)
		return
	}
	defer os.RemoveAll(folder)
	if err := store(folder); err != nil {
		fmt.Println(err)
		return
	}
	j, found, err := journal.Open(folder, "replica", journal.OSFiles())
	if err != nil {
		fmt.Println(err) // a DamageError if the disk has changed what was stored
		return
	}
	fmt.Println("fresh", found.Fresh, "term", found.HardState.Term, "data", string(found.Entries[0].Data))
	if err := j.Close(); err != nil {
		fmt.Println(err)
	}
	// Output: fresh false term 1 data hello
}
