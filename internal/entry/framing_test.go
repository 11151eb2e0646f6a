package entry

import "encoding/binary"

const (
	// frameHeader is the length of the header of a yamux frame; its last four
	// bytes hold the length of the data that follows where its second byte,
	// the type, is dataFrame.
	frameHeader = 12
	dataFrame   = 0
)

// framing cuts what one end of a link writes into the frames of yamux. The
// receiver holds a mutex while it waits for the rest of a frame, and virtual
// time stands still while anyone waits for that mutex. So the network of the
// bubble carries whole frames: a cut or a stall falls between two of them.
type framing struct {
	// greeted tells that the byte that opens a link has passed.
	greeted bool
	pending []byte
}

// add takes what was written and returns the frames that are whole.
func (f *framing) add(b []byte) [][]byte {
	f.pending = append(f.pending, b...)
	var out [][]byte
	for {
		n, whole := f.next()
		if !whole {
			return out
		}
		out = append(out, append([]byte(nil), f.pending[:n]...))
		f.pending = f.pending[n:]
	}
}

func (f *framing) next() (length int, whole bool) {
	if !f.greeted {
		f.greeted = len(f.pending) > 0
		return 1, f.greeted
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
