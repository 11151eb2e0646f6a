package rollout

import (
	"math"
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// objectBytes is the size of an ObjectSet. 2,048 bits tell up to some thousand objects apart.
const objectBytes = 256

// ObjectSet estimates how many different objects the requests to a version were about, by linear
// counting (Whang, Vander-Zanden and Taylor, 1990): each object sets one bit. The union of the sets
// of several boxes is the set of all their requests.
type ObjectSet struct{ bitmap [objectBytes]byte }

// Add adds an object.
func (o *ObjectSet) Add(key string) {
	h := xxhash.Sum64String(key) % (objectBytes * 8)
	o.bitmap[h/8] |= 1 << (h % 8)
}

// Union adds the objects of an encoded set. One of another size is ignored.
func (o *ObjectSet) Union(encoded []byte) {
	if len(encoded) != objectBytes {
		return
	}
	for i, b := range encoded {
		o.bitmap[i] |= b
	}
}

// Bytes returns the encoded set, or nil if it is empty.
func (o *ObjectSet) Bytes() []byte {
	if o.Count() == 0 {
		return nil
	}
	return append([]byte(nil), o.bitmap[:]...)
}

// Count returns the estimated number of objects. A full set counts as holding any number.
func (o *ObjectSet) Count() uint64 {
	const size = objectBytes * 8
	zeros := size
	for _, b := range o.bitmap {
		zeros -= bits.OnesCount8(b)
	}
	if zeros == 0 {
		return math.MaxUint32
	}
	return uint64(math.Round(size * math.Log(float64(size)/float64(zeros))))
}
