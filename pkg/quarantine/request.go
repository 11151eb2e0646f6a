// Package quarantine decides which requests are kept from targets because they end
// each target that runs them (a query of death): failures are booked to what was asked,
// not only to who was asked.
//
// A request is named by a digest of all that a target gets of it, and its caller by
// another. Each target that ended while it ran the request is evidence, each whole
// answer clears it, as a request that ends its targets is never answered. A box keeps
// what it saw itself in a Guard, which works without control; control replicas keep what
// all boxes tell in a Ledger, and the leader has requests watched from the second ended
// target on and held from the third. The list of both is replicated state, so that boxes
// that start or come back have it with the routes, and no loss of leaders or power lets
// a held request go.
//
// Both are state machines without I/O. They keep nothing of a path or a body.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"strings"
)

// DigestedBodyBytes is how much of a body counts, in bytes: what a box has of a longer one when
// its first target gets it.
const DigestedBodyBytes = 64 << 10

// Digest names a request. It is a part of a SHA-256, so that nobody can bring it about
// for another's request: 2^128 tries for a given one.
type Digest [16]byte

// String returns the digest as it stands in logs and commands.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// DigestError says that a text is no digest.
type DigestError struct{ Text string }

// Error implements error.
func (e *DigestError) Error() string {
	return fmt.Sprintf("%q is no digest of a request: want %d hexadecimal digits", e.Text, 2*len(Digest{}))
}

// ParseDigest reads what String wrote. The error is a DigestError.
func ParseDigest(text string) (Digest, error) {
	data, err := hex.DecodeString(text)
	if err != nil || len(data) != len(Digest{}) {
		return Digest{}, &DigestError{text}
	}
	return Digest(data), nil
}

// Request is what of a request a target can fall over, and that is the same each time
// it comes: ids, deadlines and what concerns one connection are left out.
type Request struct {
	Method string
	Host   string
	// Target is path and query as they came.
	Target string
	// Length is that of the whole body; below zero if it is not known.
	Length int64
	// Body is the body or its beginning, of which BodyBytes count.
	Body []byte
}

// Digest returns the name of the request.
func (r Request) Digest() Digest {
	head := make([]byte, 0, 256)
	head = appendText(head, r.Method)
	head = appendText(head, strings.ToLower(r.Host))
	head = appendText(head, r.Target)
	head = binary.BigEndian.AppendUint64(head, uint64(r.Length))
	h := sha256.New()
	_, _ = h.Write(head) // a hash takes every write
	_, _ = h.Write(r.Body[:min(len(r.Body), DigestedBodyBytes)])
	return Digest(h.Sum(nil)[:len(Digest{})])
}

// appendText appends a text behind its length, so that no two lists of texts are alike.
func appendText(out []byte, text string) []byte {
	out = binary.BigEndian.AppendUint32(out, uint32(len(text)))
	return append(out, text...)
}

// Caller names who asks.
type Caller uint64

// AnyCaller stands for all callers.
const AnyCaller Caller = 0

// CallerOf returns the name of a caller that is known by a text: its workspace, or its
// address without port where it has none.
func CallerOf(text string) Caller {
	sum := sha256.Sum256([]byte(text))
	return Caller(max(binary.BigEndian.Uint64(sum[:]), 1))
}
