package gateway

import (
	"fmt"
	"io"
	"runtime"
	"testing"

	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// fleetTargets is the number of targets of the largest deployment.
const fleetTargets = 10_002

// heapBytes returns the bytes that are in use on the heap after a collection.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// fleetState returns a state with the targets of the largest deployment, decoded as a box receives it.
func fleetState(b *testing.B) steering.State {
	b.Helper()
	state, _ := steering.State{}.Apply(&wire.Command{Routes: &wire.RoutesCommand{Document: &wire.RoutesDocument{Number: 1, Text: []byte("x")}}})
	for i := range fleetTargets {
		state, _ = state.Apply(&wire.Command{Registration: &wire.RegistrationCommand{Registration: &wire.Registration{
			Id: fmt.Sprintf("i-%010x", i), Service: "s", Address: fmt.Sprintf("10.%d.%d.%d:8068", i%9, i>>8, i&255), Zone: fmt.Sprint("zone-", i%9),
			Software: "v1", Slots: 9, Sequence: 7, BornUnixMilli: 1_780_000_000_000 + int64(i),
		}}})
	}
	return state
}

// BenchmarkFleetMemory measures the heap of a box that follows 10,002 targets, per target: the replicated state, and
// what the box keeps of each.
func BenchmarkFleetMemory(b *testing.B) {
	var keep []any
	for b.Loop() {
		keep = nil
		empty := heapBytes()
		state := fleetState(b)
		held := heapBytes()
		d, err := Open(testConfig(), io.Discard)
		if err != nil {
			b.Fatal(err)
		}
		opened := heapBytes()
		d.applyState(state, nil)
		applied := heapBytes()
		b.ReportMetric((held-empty)/fleetTargets, "state-B/target")
		b.ReportMetric((applied-opened)/fleetTargets, "box-B/target")
		b.ReportMetric((opened-held)/1e6, "process-MB")
		keep = append(keep, state, d)
		_ = d.callerServer.listener.Close()
		_ = d.readyListener.Close()
	}
	runtime.KeepAlive(keep)
}
