package catalog

import (
	"fmt"
	"math/bits"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"

	"ledgesill.dev/ledgesill/pkg/wire"
)

const (
	// MaxTextBytes bounds the text of a document. It equals the size limit of a message
	// between processes.
	MaxTextBytes = 64 << 20
	// dictionaryID marks frames that need the previous text as their dictionary. With 0
	// a frame does not say whether it needs one.
	dictionaryID = 1
)

// UnpackError says that a packed document could not be unpacked.
type UnpackError struct {
	Number uint64
	// Cause is a BaseError, a SizeError, a DigestError or an error of the decoder.
	Cause error
}

// Error implements error.
func (e *UnpackError) Error() string {
	return fmt.Sprintf("can't unpack document %d: %v", e.Number, e.Cause)
}

// Unwrap returns the cause.
func (e *UnpackError) Unwrap() error { return e.Cause }

// BaseError says that a delta was made against another document than the local one; 0
// stands for no document.
type BaseError struct{ Needed, Have uint64 }

// Error implements error.
func (e *BaseError) Error() string {
	return fmt.Sprintf("it is a difference to document %d, document %d is at hand", e.Needed, e.Have)
}

// SizeError says that the declared length of a text exceeds MaxTextBytes or differs
// from its actual length.
type SizeError struct{ Declared, Actual uint64 }

// Error implements error.
func (e *SizeError) Error() string {
	return fmt.Sprintf("the text was told to have %d bytes, of at most %d, and has %d", e.Declared, MaxTextBytes, e.Actual)
}

// DigestError says that the unpacked text has another digest than the packed document
// declares.
type DigestError struct{ Declared, Actual uint64 }

// Error implements error.
func (e *DigestError) Error() string {
	return fmt.Sprintf("the text has the digest %016x, told was %016x", e.Actual, e.Declared)
}

// Pack compresses a document as a delta against before, or without a base if before is
// nil.
func Pack(before, next *wire.RoutesDocument) *wire.PackedDocument {
	encoder := newEncoder(before.GetText(), len(next.Text))
	defer func() { _ = encoder.Close() }() // EncodeAll has no output stream that could fail
	return &wire.PackedDocument{
		Number: next.Number,
		Base:   before.GetNumber(),
		Data:   encoder.EncodeAll(next.Text, nil),
		Digest: xxhash.Sum64(next.Text),
		Length: uint64(len(next.Text)),
	}
}

// Unpack reverses Pack. The local document before may be nil and is used only if the
// packed document has a base. All errors are UnpackErrors.
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

// newEncoder panics if its options are invalid, which would be a bug in this file.
func newEncoder(dictionary []byte, length int) *zstd.Encoder {
	options := []zstd.EOption{
		zstd.WithEncoderConcurrency(1),
		zstd.WithEncoderLevel(zstd.SpeedDefault),
		zstd.WithLowerEncoderMem(true),
		zstd.WithSingleSegment(true), // otherwise frames of some lengths declare a window longer than their text
		zstd.WithWindowSize(windowSize(len(dictionary) + length)),
	}
	if len(dictionary) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, dictionary))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		panic(fmt.Sprintf("invalid zstd encoder options: %v", err))
	}
	return encoder
}

// windowSize returns the smallest power of two that is at least n, within the limits of
// zstd. The window has to span the dictionary and the text together: with a smaller
// one, text inserted at the start would push the matching part of the dictionary out of
// the window.
func windowSize(n int) int {
	least := 1 << bits.Len(uint(max(n, 1)-1))
	return min(max(least, zstd.MinWindowSize), zstd.MaxWindowSize)
}
