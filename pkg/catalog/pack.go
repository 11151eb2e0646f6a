package catalog

import (
	"fmt"
	"math/bits"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"

	"ledgesill.dev/ledgesill/pkg/wire"
)

const (
	// MaxTextBytes bounds the text of a document in bytes: as much as one message
	// between processes may carry.
	MaxTextBytes = 64 << 20
	// dictionaryID names the text before in a frame; 0 would leave it open
	// whether there is a dictionary.
	dictionaryID = 1
)

// UnpackError says that a packed document could not be unpacked.
type UnpackError struct {
	Number uint64
	// Cause is a BaseError, SizeError or DigestError, or tells of broken data.
	Cause error
}

// Error implements error.
func (e *UnpackError) Error() string {
	return fmt.Sprintf("can't unpack document %d: %v", e.Number, e.Cause)
}

// Unwrap returns the cause.
func (e *UnpackError) Unwrap() error { return e.Cause }

// BaseError says that a difference was made to another document than the one
// at hand; 0 stands for none.
type BaseError struct{ Needed, Have uint64 }

// Error implements error.
func (e *BaseError) Error() string {
	return fmt.Sprintf("it is a difference to document %d, document %d is at hand", e.Needed, e.Have)
}

// SizeError says that a text would be longer than MaxTextBytes, or has
// another length than was told.
type SizeError struct{ Declared, Actual uint64 }

// Error implements error.
func (e *SizeError) Error() string {
	return fmt.Sprintf("the text was told to have %d bytes, of at most %d, and has %d", e.Declared, MaxTextBytes, e.Actual)
}

// DigestError says that the text is not the one that was packed.
type DigestError struct{ Declared, Actual uint64 }

// Error implements error.
func (e *DigestError) Error() string {
	return fmt.Sprintf("the text has the digest %016x, told was %016x", e.Actual, e.Declared)
}

// Pack returns a document as a difference to the document before, or by itself
// if before is nil.
func Pack(before, next *wire.RoutesDocument) *wire.PackedDocument {
	encoder := newEncoder(before.GetText(), len(next.Text))
	defer func() { _ = encoder.Close() }() // it has written to nothing
	return &wire.PackedDocument{
		Number: next.Number,
		Base:   before.GetNumber(),
		Data:   encoder.EncodeAll(next.Text, nil),
		Digest: xxhash.Sum64(next.Text),
		Length: uint64(len(next.Text)),
	}
}

// Unpack returns the document that Pack was given. Before is the document at
// hand, or nil; it is not used for a document packed by itself. All its errors
// are UnpackErrors.
func Unpack(before *wire.RoutesDocument, p *wire.PackedDocument) (*wire.RoutesDocument, error) {
	text, err := unpackText(before, p)
	if err != nil {
		return nil, &UnpackError{Number: p.GetNumber(), Cause: err}
	}
	return &wire.RoutesDocument{Number: p.Number, Text: text}, nil
}

func unpackText(before *wire.RoutesDocument, p *wire.PackedDocument) ([]byte, error) {
	if p.GetBase() != 0 && p.Base != before.GetNumber() {
		return nil, &BaseError{Needed: p.Base, Have: before.GetNumber()}
	}
	if p.GetLength() > MaxTextBytes {
		return nil, &SizeError{Declared: p.Length}
	}
	var dictionary []byte
	if p.GetBase() != 0 {
		dictionary = before.GetText()
	}
	text, err := decode(dictionary, p.GetData(), p.GetLength())
	if err != nil {
		return nil, err
	}
	if got := uint64(len(text)); got != p.GetLength() {
		return nil, &SizeError{Declared: p.GetLength(), Actual: got}
	}
	if got := xxhash.Sum64(text); got != p.GetDigest() {
		return nil, &DigestError{Declared: p.GetDigest(), Actual: got}
	}
	return text, nil
}

func decode(dictionary, data []byte, length uint64) ([]byte, error) {
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(max(length, zstd.MinWindowSize)),
	}
	if len(dictionary) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, dictionary))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, fmt.Errorf("making the decoder: %w", err)
	}
	defer decoder.Close()
	text, err := decoder.DecodeAll(data, nil)
	if err != nil {
		return nil, fmt.Errorf("decoding: %w", err)
	}
	return text, nil
}

// newEncoder panics if its options are wrong, which is a fault of this file.
func newEncoder(dictionary []byte, length int) *zstd.Encoder {
	options := []zstd.EOption{
		zstd.WithEncoderConcurrency(1),
		zstd.WithEncoderLevel(zstd.SpeedDefault),
		zstd.WithLowerEncoderMem(true),
		zstd.WithSingleSegment(true), // else a frame of some lengths tells a longer window than its text
		zstd.WithWindowSize(window(len(dictionary) + length)),
	}
	if len(dictionary) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, dictionary))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		panic(fmt.Sprintf("options of the encoder: %v", err))
	}
	return encoder
}

// window returns the least power of two that reaches over n bytes. It has to
// reach over both texts: with less, what was put in before a place would push
// the same place of the dictionary out of reach.
func window(n int) int {
	least := 1 << bits.Len(uint(max(n, 1)-1))
	return min(max(least, zstd.MinWindowSize), zstd.MaxWindowSize)
}
