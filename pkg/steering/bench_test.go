package steering

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"ledgesill.dev/ledgesill/pkg/settings"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// stateWithZones returns a state with the given number of zones, three per region, each with 97
// entry boxes and 16 targets of one service. The largest size that users plan for is 58 zones.
func stateWithZones(b *testing.B, zones int) State {
	b.Helper()
	c := &wire.Change{Id: "tree"}
	port := 1
	address := func() string {
		port++
		return fmt.Sprintf("10.%d.%d.1:%d", port/60000, port/250%250, port%60000+1)
	}
	for z := range zones {
		path := fmt.Sprintf("/region-%d/zone-%d", z/3, z)
		var boxes, targets []string
		for i := range 97 {
			boxes = append(boxes, fmt.Sprintf("box-%d-%d=%s+%s", z, i, address(), address()))
		}
		for i := range 16 {
			targets = append(targets, fmt.Sprintf("target-%d-%d=%s", z, i, address()))
		}
		c.Edits = append(
			c.Edits,
			&wire.Edit{Path: path, Key: settings.EntryBoxes, Value: strings.Join(boxes, ",")},
			&wire.Edit{Path: path + ":work", Key: settings.Targets, Value: strings.Join(targets, ",")},
		)
	}
	s, result := State{}.Apply(&wire.Command{Change: c})
	if !result.Changed {
		b.Fatal(result.Verdict.Detail)
	}
	return s
}

var benchZones = []int{6, 20, 58}

// BenchmarkChange measures what a change costs a box: applying it and building the table.
func BenchmarkChange(b *testing.B) {
	for _, zones := range benchZones {
		b.Run(fmt.Sprintf("zones=%d", zones), func(b *testing.B) {
			s := stateWithZones(b, zones)
			i := 0
			for b.Loop() {
				i++
				next, result := s.Apply(change(fmt.Sprint("id-", i), s.SettingsVersion(), i%9+1))
				if !result.Changed {
					b.Fatal(result.Verdict.Detail)
				}
				next.Table()
				s = next
			}
		})
	}
}

// BenchmarkSnapshot measures a full state: its size in bytes, and the time to decode it and build
// the table.
func BenchmarkSnapshot(b *testing.B) {
	for _, zones := range benchZones {
		b.Run(fmt.Sprintf("zones=%d", zones), func(b *testing.B) {
			data, err := proto.Marshal(stateWithZones(b, zones).EncodeForBoxes())
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(data)), "bytes")
			for b.Loop() {
				s, err := Unmarshal(data)
				if err != nil {
					b.Fatal(err)
				}
				s.Table()
			}
			b.ReportMetric(float64(len(data)), "bytes")
		})
	}
}

// BenchmarkLookup measures one lookup of a block of callers.
func BenchmarkLookup(b *testing.B) {
	for _, zones := range benchZones {
		b.Run(fmt.Sprintf("zones=%d", zones), func(b *testing.B) {
			t := stateWithZones(b, zones).Table()
			i := 0
			usable := func(settings.Box) bool { return true }
			for b.Loop() {
				i++
				t.Choose("work", "region-0", fmt.Sprint("block-", i%580_000), 6, usable)
			}
		})
	}
}

// BenchmarkMemory measures the memory held by a state and its table.
func BenchmarkMemory(b *testing.B) {
	for _, zones := range benchZones {
		b.Run(fmt.Sprintf("zones=%d", zones), func(b *testing.B) {
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				s := stateWithZones(b, zones)
				t := s.Table()
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "heldBytes")
				runtime.KeepAlive(s)
				runtime.KeepAlive(t)
			}
		})
	}
}
