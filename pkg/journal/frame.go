package journal

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// A frame is magic, length of the payload, checksum, sequence number and
// payload; the checksum covers all that follows it and the length.
const (
	frameMagic    = 0x4c53_4a31
	frameHeader   = 20
	maxFrameBytes = 64 << 20
)

var checksums = crc32.MakeTable(crc32.Castagnoli)

// DamageError says that a file of the data folder is damaged at a place where
// no crash can have left it so.
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
	sum := crc32.Update(0, checksums, frame[4:8])
	return crc32.Update(sum, checksums, frame[12:])
}

// readFrame reads the frame at the start of data; size is its whole length,
// and reason says why there is none.
func readFrame(data []byte) (sequence uint64, payload []byte, size int, reason string) {
	if len(data) < frameHeader {
		return 0, nil, 0, "the header is cut short"
	}
	if binary.BigEndian.Uint32(data) != frameMagic {
		return 0, nil, 0, "no frame begins here"
	}
	length := binary.BigEndian.Uint32(data[4:])
	if length > maxFrameBytes {
		return 0, nil, 0, fmt.Sprintf("a length of %d bytes is not possible", length)
	}
	size = frameHeader + int(length)
	if len(data) < size {
		return 0, nil, 0, "the payload is cut short"
	}
	if binary.BigEndian.Uint32(data[8:]) != frameChecksum(data[:size]) {
		return 0, nil, 0, "the checksum does not match"
	}
	return binary.BigEndian.Uint64(data[12:]), data[frameHeader:size], size, ""
}

// laterFrame reports whether a whole frame begins anywhere in data.
func laterFrame(data []byte) bool {
	for i := 1; i+frameHeader <= len(data); i++ {
		if binary.BigEndian.Uint32(data[i:]) != frameMagic {
			continue
		}
		if _, _, _, reason := readFrame(data[i:]); reason == "" {
			return true
		}
	}
	return false
}
