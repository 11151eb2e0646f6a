package catalog

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"

	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"ledgesill.dev/ledgesill/pkg/wire"
)

// routesDocument returns a document with routes of about 230 bytes each. weight is the
// weight of the middle route.
func routesDocument(number uint64, routes, weight int) *wire.RoutesDocument {
	var out bytes.Buffer
	_, _ = fmt.Fprintf(&out, "{\"number\": %d, \"hosts\": [{\"name\": \"host.example\", \"routes\": [\n", number)
	for i := range routes {
		r := rand.New(rand.NewPCG(uint64(i), 3))
		first := 1 + r.IntN(99)
		if i == routes/2 {
			first = weight
		}
		name := fmt.Sprintf("%08x", r.Uint32())
		_, _ = fmt.Fprintf(&out, `    {"name":"route-%s","prefix":"/v2/%s/items/","repeat":"repeatable","objectiveMillis":%d,"priority":%d,"destinations":[{"service":"service-%02d","weight":%d},{"service":"service-%02d","weight":%d}],"timeoutMillis":1500},`+"\n",
			name, name, 200+r.IntN(800), r.IntN(4), r.IntN(40), first, r.IntN(40), 100-first)
	}
	out.WriteString("]}]}\n")
	return &wire.RoutesDocument{Number: number, Text: out.Bytes()}
}

// drawRepetitiveText draws a text of repeated lines, so that it can be compressed.
func drawRepetitiveText(t *rapid.T, label string) []byte {
	line := rapid.SliceOfN(rapid.Byte(), 0, 40)
	var out []byte
	for _, l := range rapid.SliceOfN(line, 0, 8).Draw(t, label) {
		out = append(out, bytes.Repeat(l, rapid.IntRange(1, 60).Draw(t, "times"))...)
	}
	return out
}

func TestPackRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var before *wire.RoutesDocument
		if rapid.Bool().Draw(t, "with base") {
			before = &wire.RoutesDocument{Number: 4, Text: drawRepetitiveText(t, "before")}
		}
		next := &wire.RoutesDocument{Number: 7, Text: drawRepetitiveText(t, "next")}
		if before != nil && rapid.Bool().Draw(t, "similar") {
			at := rapid.IntRange(0, len(before.Text)).Draw(t, "at")
			next.Text = bytes.Join([][]byte{before.Text[:at], next.Text, before.Text[at:]}, nil)
		}
		got, err := Unpack(before, Pack(before, next))
		if err != nil || got.Number != 7 || !bytes.Equal(got.Text, next.Text) {
			t.Fatalf("got document %d of %d bytes, %v, want %d bytes", got.GetNumber(), len(got.GetText()), err, len(next.Text))
		}
	})
}

// The text is slightly shorter than a power of two. The next one has routes added at
// its start and as many removed from its end, so neither text is longer than that
// power, but matching parts are further apart than that. A window of that size would
// not reach them.
func TestPackIsSmallForShiftedText(t *testing.T) {
	text := routesDocument(1, 3000, 50).Text[:1<<19-10]
	before := &wire.RoutesDocument{Number: 1, Text: text}
	next := &wire.RoutesDocument{Number: 2, Text: append(bytes.Repeat([]byte("new "), 1000), text[:len(text)-4000]...)}
	p := Pack(before, next)
	if len(p.Data) > 1024 {
		t.Errorf("the delta has %d bytes, want at most 1024", len(p.Data))
	}
	if got, err := Unpack(before, p); err != nil || !bytes.Equal(got.Text, next.Text) {
		t.Errorf("unpacked another text, or failed: %v", err)
	}
}

func TestUnpackWithWrongBase(t *testing.T) {
	first, second, third := routesDocument(1, 5, 50), routesDocument(2, 5, 60), routesDocument(3, 5, 70)
	for _, have := range []*wire.RoutesDocument{nil, first, third} {
		_, err := Unpack(have, Pack(second, third))
		var unpack *UnpackError
		var base *BaseError
		if !errors.As(err, &unpack) || !errors.As(err, &base) || unpack.Number != 3 || base.Needed != 2 || base.Have != have.GetNumber() {
			t.Errorf("local document %d: got %v, want a BaseError", have.GetNumber(), err)
		}
	}
	other := &wire.RoutesDocument{Number: 2, Text: bytes.ToUpper(second.Text)}
	_, err := Unpack(other, Pack(second, third))
	var unpack *UnpackError
	if !errors.As(err, &unpack) {
		t.Errorf("local document with the right number but another text: got %v, want an UnpackError", err)
	}
}

func TestUnpackWithWrongDigestOrLength(t *testing.T) {
	before, next := routesDocument(1, 5, 50), routesDocument(2, 5, 60)
	p := Pack(before, next)
	p.Digest++
	_, err := Unpack(before, p)
	var digest *DigestError
	if !errors.As(err, &digest) || digest.Declared != p.Digest || digest.Actual != p.Digest-1 {
		t.Errorf("wrong digest: got %v, want a DigestError", err)
	}
	p = Pack(before, next)
	p.Length++
	_, err = Unpack(before, p)
	var size *SizeError
	if !errors.As(err, &size) || size.Declared != p.Length || size.Actual != p.Length-1 {
		t.Errorf("wrong length: got %v, want a SizeError", err)
	}
}

// A packed document in which a byte is changed, or that is truncated or extended, is
// refused or still unpacks to the original text.
func TestUnpackCorruptedData(t *testing.T) {
	before, next := routesDocument(1, 40, 50), routesDocument(2, 60, 60)
	rapid.Check(t, func(t *rapid.T) {
		p := Pack(before, next)
		at := rapid.IntRange(0, len(p.Data)-1).Draw(t, "at")
		switch rapid.IntRange(0, 2).Draw(t, "kind") {
		case 0:
			p.Data[at] ^= rapid.ByteRange(1, 255).Draw(t, "bits")
		case 1:
			p.Data = p.Data[:at]
		case 2:
			p.Data = append(p.Data, p.Data[at:]...)
		}
		got, err := Unpack(before, p)
		var unpack *UnpackError
		if err != nil && !errors.As(err, &unpack) {
			t.Fatalf("got %v, want an UnpackError", err)
		}
		if err == nil && !bytes.Equal(got.Text, next.Text) {
			t.Fatal("unpacked another text than was packed")
		}
	})
}

// Frames of 256 MB of zeros, with and without their size in the header: the memory
// allocated is bounded by the declared length.
func TestUnpackAllocationIsBounded(t *testing.T) {
	const size, allowed = 256 << 20, 8 << 20
	var streamed bytes.Buffer
	w, err := zstd.NewWriter(&streamed)
	if err != nil {
		t.Fatal(err)
	}
	for range size >> 20 {
		if _, err := w.Write(make([]byte, 1<<20)); err != nil {
			t.Fatal(err)
		}
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	whole := w.EncodeAll(make([]byte, size), nil)
	for name, p := range map[string]*wire.PackedDocument{
		"size in header":       {Number: 1, Data: whole, Length: 1000},
		"no size in header":    {Number: 1, Data: streamed.Bytes(), Length: 1000},
		"declared above limit": {Number: 1, Data: whole, Length: MaxTextBytes + 1},
		"no data":              {Number: 1, Length: MaxTextBytes},
	} {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		_, err := Unpack(nil, p)
		runtime.ReadMemStats(&after)
		var unpack *UnpackError
		if !errors.As(err, &unpack) {
			t.Errorf("%s: got %v, want an UnpackError", name, err)
		}
		if n := after.TotalAlloc - before.TotalAlloc; n > allowed {
			t.Errorf("%s: %d bytes were allocated, want at most %d", name, n, allowed)
		}
	}
}

// A control replica's snapshot on disk holds the plain text, and plain states of
// earlier versions can still be read.
func TestPackedDocumentsAreNotStored(t *testing.T) {
	document := routesDocument(1, 3, 50)
	plain := &wire.Catalog{Document: document, Accepted: []uint64{5}}
	packed := &wire.Catalog{Packed: Pack(nil, document), Accepted: []uint64{5}}
	for name, m := range map[string]*wire.Catalog{"plain": plain, "packed": packed} {
		s, err := Decode(m)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if !proto.Equal(s.Encode(), plain) {
			t.Errorf("%s: the state is not encoded with the plain document", name)
		}
	}
}

func FuzzUnpack(f *testing.F) {
	before := routesDocument(1, 8, 50)
	for _, p := range []*wire.PackedDocument{
		{},
		Pack(nil, before),
		Pack(before, routesDocument(2, 8, 60)),
		Pack(before, &wire.RoutesDocument{Number: 2}),
		{Number: 2, Base: 1, Data: []byte{0x28, 0xb5, 0x2f, 0xfd}, Length: 1 << 40},
	} {
		data, err := proto.Marshal(p)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		p := &wire.PackedDocument{}
		if proto.Unmarshal(data, p) != nil {
			return
		}
		got, err := Unpack(before, p)
		var unpack *UnpackError
		if err != nil && !errors.As(err, &unpack) {
			t.Fatalf("got %v, want an UnpackError", err)
		}
		if err == nil && uint64(len(got.Text)) != p.Length {
			t.Fatalf("unpacked %d bytes, declared were %d", len(got.Text), p.Length)
		}
	})
}

func ExamplePack() {
	before := &wire.RoutesDocument{Number: 1, Text: bytes.Repeat([]byte("a line\n"), 1000)}
	next := &wire.RoutesDocument{Number: 2, Text: append(bytes.Clone(before.Text), "another\n"...)}
	packed := Pack(before, next)
	got, err := Unpack(before, packed)
	fmt.Println(len(packed.Data) < 100, bytes.Equal(got.Text, next.Text), err)
	_, err = Unpack(nil, packed)
	fmt.Println(err)
	// Output:
	// true true <nil>
	// can't unpack document 2: it is a difference to document 1, document 0 is at hand
}

var benchmarkSizes = []int{1000, 5000, 20000}

func BenchmarkPack(b *testing.B) {
	for _, routes := range benchmarkSizes {
		before, next := routesDocument(1, routes, 50), routesDocument(2, routes, 60)
		b.Run(fmt.Sprint(routes), func(b *testing.B) {
			size := 0
			for b.Loop() {
				size = len(Pack(before, next).Data)
			}
			b.ReportMetric(float64(size), "bytes")
			b.ReportMetric(float64(len(next.Text)), "text-bytes")
		})
	}
}

func BenchmarkUnpack(b *testing.B) {
	for _, routes := range benchmarkSizes {
		before, next := routesDocument(1, routes, 50), routesDocument(2, routes, 60)
		p := Pack(before, next)
		b.Run(fmt.Sprint(routes), func(b *testing.B) {
			for b.Loop() {
				if _, err := Unpack(before, p); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// TestPackRoundTripAroundPowersOfTwo guards against deltas that can't be unpacked:
// at some lengths around powers of two, a frame declared a window longer than its
// text.
func TestPackRoundTripAroundPowersOfTwo(t *testing.T) {
	text := bytes.Repeat([]byte("0123456789abcdef"), 8<<10)
	for _, before := range []int{0, 1, 50, 2000, 100_000} {
		var base *wire.RoutesDocument
		if before > 0 {
			base = &wire.RoutesDocument{Number: 1, Text: text[:before]}
		}
		for power := 1; power <= len(text); power *= 2 {
			for _, n := range []int{power - 1, power, min(power+1, len(text))} {
				next := &wire.RoutesDocument{Number: 2, Text: text[:n]}
				got, err := Unpack(base, Pack(base, next))
				if err != nil || !bytes.Equal(got.Text, next.Text) {
					t.Errorf("text of %d bytes with a base of %d bytes: %v", n, before, err)
				}
			}
		}
	}
}
