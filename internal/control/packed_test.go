package control

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"ledgesill.dev/ledgesill/pkg/catalog"
	"ledgesill.dev/ledgesill/pkg/consensus"
	"ledgesill.dev/ledgesill/pkg/distribution"
	"ledgesill.dev/ledgesill/pkg/journal"
	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// soleReplica is a replica that is the only voter, with a publisher for its state.
type soleReplica struct {
	replica   *replica
	publisher *distribution.Publisher
	results   []steering.Result
}

// openSoleReplica starts a replica on a disk that holds a state and a log of commands.
func openSoleReplica(t *testing.T, state steering.State, commands ...*wire.Command) *soleReplica {
	t.Helper()
	disk := newFakeDisk(1)
	disk.beforeOperation = func(string, string) error { return nil }
	j, found, err := journal.Open("folder", "a", disk.files())
	if err != nil {
		t.Fatal(err)
	}
	data, err := state.Marshal()
	if err != nil {
		t.Fatal(err)
	}
	alone := &wire.Membership{Voters: []*wire.Replica{{Id: found.ID, Address: "a"}}}
	found.HardState = &wire.HardState{Term: 1}
	found.Snapshot = &wire.Snapshot{Index: 1, Term: 1, Membership: alone, Data: data}
	for i, c := range commands {
		data, err := proto.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		found.Entries = append(found.Entries, &wire.Entry{Index: uint64(i + 2), Term: 1, Kind: wire.EntryKind_ENTRY_KIND_COMMAND, Data: data})
	}
	now := time.Unix(0, 0)
	r, err := openReplica(func() time.Time { return now }, consensus.Config{}, j, found, snapshotEvery)
	if err != nil {
		t.Fatal(err)
	}
	l := &soleReplica{replica: r, publisher: distribution.NewPublisher(r.state)}
	r.send = func(*wire.ConsensusMessage) {}
	r.publish = func(s steering.State, c []*wire.Command) { l.publisher.SetState(s, c) }
	r.onNotice = func(consensus.Notice) {}
	r.onApplied = func(_ *wire.Command, result steering.Result) { l.results = append(l.results, result) }
	r.onSynced = func(time.Duration) {}
	r.onDiskChange = func(*FullDiskError) {}
	now = now.Add(3 * time.Second) // without a leader, it is elected
	if err := r.handleOutput(r.machine.Handle(now, consensus.Tick{})); err != nil {
		t.Fatal(err)
	}
	return l
}

func plainCommand(base, number uint64, text []byte) *wire.Command {
	return &wire.Command{Routes: &wire.RoutesCommand{BaseNumber: base, Document: &wire.RoutesDocument{Number: number, Text: text}}}
}

func packedCommand(base, number uint64, text []byte) *wire.Command {
	packed := catalog.Pack(nil, &wire.RoutesDocument{Number: number, Text: text})
	return &wire.Command{Routes: &wire.RoutesCommand{BaseNumber: base, Packed: packed}}
}

// TestLogWithPlainAndPackedDocuments starts a replica on a snapshot and a log that hold plain
// documents, as earlier versions write them, followed by packed ones.
func TestLogWithPlainAndPackedDocuments(t *testing.T) {
	state := stateWithDocument(t, sampleRoutesText(1400))
	texts := [][]byte{sampleRoutesText(1401), sampleRoutesText(1402), sampleRoutesText(1403)}
	l := openSoleReplica(t, state, plainCommand(1, 2, texts[0]), packedCommand(2, 3, texts[1]), packedCommand(3, 4, texts[2]))
	document := l.replica.state.Catalog().Document()
	if document.GetNumber() != 4 || !bytes.Equal(document.Text, texts[2]) {
		t.Fatalf("document %d of %d bytes is active: %v", document.GetNumber(), len(document.GetText()), l.results)
	}
	update := l.publisher.Update(state.Version(), 0)
	for i, c := range update.Commands {
		if base := c.GetRoutes().GetPacked().GetBase(); base != uint64(i+1) {
			t.Errorf("command %d is published as a delta to document %d", i, base)
		}
	}
	box, _, err := distribution.Advance(state, update)
	if err != nil || !bytes.Equal(box.Catalog().Document().GetText(), texts[2]) {
		t.Errorf("a box holds a different document: %v", err)
	}
	if len(update.Commands) != len(texts) || proto.Size(update) > len(texts[0])/10 {
		t.Errorf("boxes receive %d commands of %d bytes", len(update.Commands), proto.Size(update))
	}
}

// TestInvalidPackedDocumentIsRejected checks that a replica continues after a document that it
// can't unpack.
func TestInvalidPackedDocumentIsRejected(t *testing.T) {
	state := stateWithDocument(t, []byte("one"))
	broken := packedCommand(1, 2, []byte("two"))
	broken.Routes.Packed.Data = []byte("no frame")
	l := openSoleReplica(t, state, broken, packedCommand(1, 2, []byte("three")))
	var unpack *catalog.UnpackError
	if len(l.results) != 2 || l.results[0].Changed || !errors.As(l.results[0].Err, &unpack) {
		t.Fatalf("got %+v", l.results)
	}
	var refused *RefusedError
	if err := submitError(outcome{result: l.results[0]}, nil); !errors.As(err, &refused) || refused.Conflict {
		t.Errorf("the operator receives %v", err)
	}
	if text := l.replica.state.Catalog().Document().GetText(); string(text) != "three" {
		t.Errorf("%q is active", text)
	}
}

// TestPlainAndPackedAnswersAreRead checks that a replica reads the document from a leader that
// packs it and from one that does not.
func TestPlainAndPackedAnswersAreRead(t *testing.T) {
	document := &wire.RoutesDocument{Number: 3, Text: []byte("text")}
	for name, a := range map[string]*wire.ReadAnswer{
		"plain":  {Document: document},
		"packed": {Packed: catalog.Pack(nil, document)},
	} {
		if got, err := documentOf(a); err != nil || !proto.Equal(got, document) {
			t.Errorf("%s: %v, %v", name, got, err)
		}
	}
	for _, a := range []*wire.ReadAnswer{nil, {}} {
		if got, err := documentOf(a); got != nil || err != nil {
			t.Errorf("none: %v, %v", got, err)
		}
	}
}
