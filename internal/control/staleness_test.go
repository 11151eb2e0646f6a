package control

import (
	"slices"
	"time"
)

// transitTime bounds the time that an update spends between a replica and a box. The control age
// of a box does not include it.
const transitTime = linkDelay + 2*simulationStep

// ack is the time at which a settings version was acknowledged to an operator.
type ack struct {
	version uint64
	at      time.Time
}

// recordAck records the acknowledgement of a version unless a later one was acknowledged before.
func (o *operators) recordAck(version uint64) {
	if n := len(o.acks); n > 0 && o.acks[n-1].version >= version {
		return
	}
	o.acks = append(o.acks, ack{version, o.sim.now})
}

// firstMissing returns the first acknowledgement of a version after the given one.
func (o *operators) firstMissing(version uint64) (a ack, ok bool) {
	i, _ := slices.BinarySearchFunc(o.acks, version+1, func(a ack, v uint64) int {
		if a.version < v {
			return -1
		}
		return 1
	})
	if i == len(o.acks) {
		return ack{}, false
	}
	return o.acks[i], true
}

// checkStaleness checks that every replica and box that lacks an acknowledged change reports a
// control age that reaches back to the acknowledgement or further.
func (o *operators) checkStaleness() {
	for _, n := range o.sim.nodes {
		if n.alive && !n.frozen && n.replica.diskFull == nil {
			o.checkControlAge(n.name, n.replica.state.SettingsVersion(), o.sim.now.Sub(n.lastContactAt), 0)
		}
	}
	for _, b := range o.sim.boxes {
		if b.alive {
			o.checkControlAge(b.name, b.follower.State().SettingsVersion(), b.follower.ControlAge(o.sim.now), transitTime)
		}
	}
}

func (o *operators) checkControlAge(name string, version uint64, age, transit time.Duration) {
	missing, ok := o.firstMissing(version)
	if !ok {
		return
	}
	if lacking := o.sim.now.Sub(missing.at); age < lacking-transit {
		o.sim.addProblem("%s has version %d and reports a control age of %s; version %d was acknowledged %s ago", name, version, age, missing.version, lacking)
	}
}
