// Package lookup maps callers to regions, availability zones and entry boxes.
//
// A hash of its block places every caller of a service and home region on one of Points
// points. An Assignment gives each point to a region. Moving a number of points moves
// exactly the callers on them and no others.
package lookup

import (
	"encoding/binary"
	"fmt"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"ledgesill.dev/ledgesill/pkg/wire"
)

// Points is the number of parts into which the callers of a home region are divided.
const Points = 10_000

// Point returns the point of a block of callers for a service.
func Point(service, block string) uint32 {
	return uint32(hash(service, block) % Points)
}

func hash(parts ...string) uint64 {
	d := xxhash.New()
	for _, p := range parts {
		var size [4]byte
		binary.BigEndian.PutUint32(size[:], uint32(len(p)))
		_, _ = d.Write(size[:]) // a hash never returns an error
		_, _ = d.WriteString(p)
	}
	return d.Sum64()
}

// Assignment divides the points of one home region among regions. It is immutable.
type Assignment struct{ intervals []*wire.Interval }

// SingleRegion returns the assignment that gives all points to one region.
func SingleRegion(region string) Assignment {
	return Assignment{[]*wire.Interval{{Start: 0, End: Points, Region: region}}}
}

// FromIntervals returns the assignment with the given intervals, which must cover every
// point exactly once and in order.
func FromIntervals(intervals []*wire.Interval) (Assignment, error) {
	at := uint32(0)
	for _, v := range intervals {
		if v.Start != at || v.End <= v.Start {
			return Assignment{}, fmt.Errorf("interval %d to %d does not follow point %d", v.Start, v.End, at)
		}
		at = v.End
	}
	if at != Points {
		return Assignment{}, fmt.Errorf("the intervals end at point %d, not %d", at, Points)
	}
	return Assignment{slices.Clone(intervals)}, nil
}

// Intervals returns the intervals in order.
func (a Assignment) Intervals() []*wire.Interval { return slices.Clone(a.intervals) }

// Region returns the region of a point.
func (a Assignment) Region(point uint32) string {
	i, _ := slices.BinarySearchFunc(a.intervals, point, func(v *wire.Interval, p uint32) int {
		if v.End <= p {
			return -1
		}
		if v.Start > p {
			return 1
		}
		return 0
	})
	return a.intervals[i].Region
}

// PointsOf returns the number of points of a region.
func (a Assignment) PointsOf(region string) uint32 {
	n := uint32(0)
	for _, v := range a.intervals {
		if v.Region == region {
			n += v.End - v.Start
		}
	}
	return n
}

// WithMove returns a copy of the assignment in which the highest points of region from,
// up to the given number, belong to region to, and the number of points moved.
func (a Assignment) WithMove(from, to string, points uint32) (Assignment, uint32) {
	left := points
	var out []*wire.Interval
	for _, v := range slices.Backward(a.intervals) {
		if v.Region != from || left == 0 {
			out = append(out, v)
			continue
		}
		n := min(left, v.End-v.Start)
		left -= n
		out = append(out, &wire.Interval{Start: v.End - n, End: v.End, Region: to})
		if v.End-n > v.Start {
			out = append(out, &wire.Interval{Start: v.Start, End: v.End - n, Region: from})
		}
	}
	slices.Reverse(out)
	return Assignment{mergeAdjacent(out)}, points - left
}

// mergeAdjacent merges adjacent intervals of the same region.
func mergeAdjacent(intervals []*wire.Interval) []*wire.Interval {
	var out []*wire.Interval
	for _, v := range intervals {
		last := len(out) - 1
		if last >= 0 && out[last].Region == v.Region {
			out[last] = &wire.Interval{Start: out[last].Start, End: v.End, Region: v.Region}
			continue
		}
		out = append(out, v)
	}
	return out
}

// Weighted is a name with its weight in a ranking.
type Weighted struct {
	Name   string
	Weight float64
}

// Rank orders names for a key by weighted rendezvous hashing (Thaler and Ravishankar,
// 1998): removing a name moves only the keys that it had. Names without a positive
// weight are left out.
func Rank(key string, names []Weighted) []string {
	type scored struct {
		name  string
		score float64
	}
	list := make([]scored, 0, len(names))
	for _, n := range names {
		if n.Weight <= 0 {
			continue
		}
		uniform := (float64(hash(key, n.Name)>>11) + 0.5) / (1 << 53)
		list = append(list, scored{n.Name, -math.Log(uniform) / n.Weight})
	}
	slices.SortFunc(list, func(a, b scored) int {
		if a.score < b.score {
			return -1
		}
		if a.score > b.score {
			return 1
		}
		return 0
	})
	out := make([]string, 0, len(list))
	for _, s := range list {
		out = append(out, s.name)
	}
	return out
}
