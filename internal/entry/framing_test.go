package entry

import "encoding/binary"

const (
	// frameHeader is the length of a yamux frame header. Its second byte is the frame type. In
	// frames of type dataFrame, the last four bytes are the length of the data that follows.
	frameHeader = 12
	dataFrame   = 0
)

// frameSplitter splits the data written by one end of a link into yamux frames. The receiver
// holds a mutex while it waits for the rest of a frame, and virtual time does not advance while
// a goroutine waits for that mutex. So the fake network only delivers complete frames, and
// partitions and stalls take effect between frames.
type frameSplitter struct {
	// typeByteSeen is set once the byte that opens a link has been sent.
	typeByteSeen bool
	pending      []byte
}

// add appends written data and returns the frames that are complete.
func (f *frameSplitter) add(b []byte) [][]byte {
	f.pending = append(f.pending, b...)
	var out [][]byte
	for {
		n, complete := f.nextLength()
		if !complete {
			return out
		}
		out = append(out, append([]byte(nil), f.pending[:n]...))
		f.pending = f.pending[n:]
	}
}

func (f *frameSplitter) nextLength() (length int, complete bool) {
	if !f.typeByteSeen {
		f.typeByteSeen = len(f.pending) > 0
		return 1, f.typeByteSeen
	}
	if len(f.pending) < frameHeader {
		return 0, false
	}
	n := frameHeader
	if f.pending[1] == dataFrame {
		n += int(binary.BigEndian.Uint32(f.pending[frameHeader-4:]))
	}
	return n, len(f.pending) >= n
}
