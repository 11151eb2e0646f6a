package journal

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// A frame consists of a magic number, the length of the payload, a checksum, a
// sequence number and the payload. The checksum covers the length and everything after
// the checksum.
const (
	frameMagic       = 0x4c53_4a31
	frameHeaderBytes = 20
	maxFrameBytes    = 64 << 20
)

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// DamageError is returned if a file in the data directory is damaged in a way that a
// crash can't cause.
type DamageError struct {
	File   string
	Offset int64
	Reason string
}

// Error implements error.
func (e *DamageError) Error() string {
	return fmt.Sprintf("%s is damaged at byte %d: %s", e.File, e.Offset, e.Reason)
}

func appendFrame(data []byte, sequence uint64, payload []byte) []byte {
	start := len(data)
	data = binary.BigEndian.AppendUint32(data, frameMagic)
	data = binary.BigEndian.AppendUint32(data, uint32(len(payload)))
	data = binary.BigEndian.AppendUint32(data, 0)
	data = binary.BigEndian.AppendUint64(data, sequence)
	data = append(data, payload...)
	binary.BigEndian.PutUint32(data[start+8:], frameChecksum(data[start:]))
	return data
}

func frameChecksum(frame []byte) uint32 {
	sum := crc32.Update(0, crcTable, frame[4:8])
	return crc32.Update(sum, crcTable, frame[12:])
}

// parseFrame parses the frame at the start of data. size is the length of the whole
// frame; reason is empty, or says why there is no valid frame.
func parseFrame(data []byte) (sequence uint64, payload []byte, size int, reason string) {
	if len(data) < frameHeaderBytes {
		return 0, nil, 0, "the header is cut short"
	}
	if binary.BigEndian.Uint32(data) != frameMagic {
		return 0, nil, 0, "no frame begins here"
	}
	length := binary.BigEndian.Uint32(data[4:])
	if length > maxFrameBytes {
		return 0, nil, 0, fmt.Sprintf("a length of %d bytes is not possible", length)
	}
	size = frameHeaderBytes + int(length)
	if len(data) < size {
		return 0, nil, 0, "the payload is cut short"
	}
	if binary.BigEndian.Uint32(data[8:]) != frameChecksum(data[:size]) {
		return 0, nil, 0, "the checksum does not match"
	}
	return binary.BigEndian.Uint64(data[12:]), data[frameHeaderBytes:size], size, ""
}

// containsFrame reports whether a valid frame begins anywhere in data after its first
// byte.
func containsFrame(data []byte) bool {
	for i := 1; i+frameHeaderBytes <= len(data); i++ {
		if binary.BigEndian.Uint32(data[i:]) != frameMagic {
			continue
		}
		if _, _, _, reason := parseFrame(data[i:]); reason == "" {
			return true
		}
	}
	return false
}
