// Package quarantine keeps requests away from targets if they crash each target that
// runs them (queries of death). A failure is attributed to the request as well as to the
// target that failed.
//
// A request is identified by a digest of everything that a target receives of it, and its
// caller by another digest. Each target that crashed while it ran the request is evidence
// against it. Each complete answer clears it, because a request that crashes its targets
// is never answered. A box keeps what it observed itself in a Guard, which works without
// control. Control replicas keep the reports of all boxes in an EvidenceStore, and the
// leader puts a request on probation from the second crashed target on and in quarantine
// from the third episode of crashes on. The list of both is replicated state: boxes that
// start or reconnect receive it with the routes, and no loss of leaders or power releases a
// quarantined request.
//
// Guard and EvidenceStore are state machines without I/O. They store no path and no body.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"strings"
)

// DigestedBodyBytes is how many bytes of a body are included in the digest: what a box
// has read of a longer body when the first target gets the request.
const DigestedBodyBytes = 64 << 10

// Digest identifies a request. It is a prefix of a SHA-256 hash, long enough that nobody
// can construct a request with the digest of another one: that takes 2^128 attempts.
type Digest [16]byte

// String returns the digest as it appears in logs and commands.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// DigestError reports a text that is not a digest.
type DigestError struct{ Text string }

// Error implements error.
func (e *DigestError) Error() string {
	return fmt.Sprintf("%q is no digest of a request: want %d hexadecimal digits", e.Text, 2*len(Digest{}))
}

// ParseDigest parses the output of String. The error is a DigestError.
func ParseDigest(text string) (Digest, error) {
	data, err := hex.DecodeString(text)
	if err != nil || len(data) != len(Digest{}) {
		return Digest{}, &DigestError{text}
	}
	return Digest(data), nil
}

// Request holds the parts of a request that can make a target crash and are the same
// each time it is sent. It excludes ids, deadlines and headers of one connection.
type Request struct {
	Method string
	Host   string
	// Target is the path and query as received.
	Target string
	// Length is the length of the whole body, or negative if it is not known.
	Length int64
	// Body is the body or its beginning, of which DigestedBodyBytes count.
	Body []byte
}

// Digest returns the digest of the request.
func (r Request) Digest() Digest {
	head := make([]byte, 0, 256)
	head = appendText(head, r.Method)
	head = appendText(head, strings.ToLower(r.Host))
	head = appendText(head, r.Target)
	head = binary.BigEndian.AppendUint64(head, uint64(r.Length))
	h := sha256.New()
	_, _ = h.Write(head) // a hash never returns an error
	_, _ = h.Write(r.Body[:min(len(r.Body), DigestedBodyBytes)])
	return Digest(h.Sum(nil)[:len(Digest{})])
}

// appendText appends a text with its length before it, so that different lists of texts
// never have the same encoding.
func appendText(out []byte, text string) []byte {
	out = binary.BigEndian.AppendUint32(out, uint32(len(text)))
	return append(out, text...)
}

// Caller identifies the sender of a request.
type Caller uint64

// AnyCaller stands for all callers.
const AnyCaller Caller = 0

// CallerOf returns the identifier of the caller with the given name: its workspace, or
// its address without port if it has no workspace.
func CallerOf(text string) Caller {
	sum := sha256.Sum256([]byte(text))
	return Caller(max(binary.BigEndian.Uint64(sum[:]), 1))
}
