package catalog

import (
	"math"

	"google.golang.org/protobuf/proto"

	"ledgesill.dev/ledgesill/pkg/wire"
)

// finalSequence is the sequence of an incarnation whose departure is final: no update of it has a
// sequence that is higher by readmitAfterUpdates.
const finalSequence = math.MaxUint64 - readmitAfterUpdates

// Prelude returns the commands that a leader must propose right before a registration update, so that
// the departure of an incarnation is recorded as what it is. It needs no new kind of command:
// replicas and boxes of earlier versions apply the result alike.
//
// Before an update of a new incarnation it is the leave of the one that it replaces, by which a late
// leave message of that one is recognized as ambiguous. Before a leave that surely concerns the
// registered incarnation it is an update that makes its departure final: the sequence of a
// registration is that of the last change, which heartbeats on their way may exceed by any number.
func (x *Index) Prelude(c *wire.RegistrationCommand) []*wire.RegistrationCommand {
	r := c.Registration
	known := x.byID[r.GetId()]
	if known == nil || known.BornUnixMilli == 0 || !x.WouldChange(r, c.Leave) {
		return nil
	}
	if !c.Leave {
		return leaveOfReplaced(known, r)
	}
	if known.Draining || !x.isFinal(known, r) {
		return nil
	}
	return []*wire.RegistrationCommand{{Registration: x.finalUpdate(known)}}
}

// leaveOfReplaced returns the leave of the known incarnation if an update replaces it.
func leaveOfReplaced(known, r *wire.Registration) []*wire.RegistrationCommand {
	if r.BornUnixMilli == known.BornUnixMilli {
		return nil
	}
	former := &wire.Registration{Id: known.Id, BornUnixMilli: known.BornUnixMilli}
	return []*wire.RegistrationCommand{{Registration: former, Leave: true}}
}

// isFinal reports whether a leave surely concerns the known incarnation: it names it, or there was no
// other one, as the replica that received it or this one has followed.
func (x *Index) isFinal(known, leave *wire.Registration) bool {
	if leave.BornUnixMilli > 0 || x.first[known.Id] {
		return true
	}
	return leave.Sequence == finalSequence && x.Departure(known.Id) == nil
}

// finalUpdate returns the last update of an incarnation.
func (x *Index) finalUpdate(known *wire.Registration) *wire.Registration {
	r := proto.CloneOf(known)
	r.Sequence = finalSequence
	if !x.isReadmitted(known) {
		r.Draining = true
		return r
	}
	if r.ColdMilli > 0 { // an update must change something to be applied
		r.ColdMilli = 0
	} else {
		r.ColdMilli = 1
	}
	return r
}

// isReadmitted reports whether a registered incarnation has departed before. The state ignores that
// such a target drains, as it would ignore a late heartbeat of a departed one.
func (x *Index) isReadmitted(known *wire.Registration) bool {
	d := x.departures[known.Id]
	return d != nil && compareStarts(known.BornUnixMilli, d.BornUnixMilli) <= 0
}

// Withdrawal returns the command that a replica submits for an update which says that a target drains:
// the update, or a leave of the incarnation if the state would ignore the update.
func (x *Index) Withdrawal(c *wire.RegistrationCommand) *wire.RegistrationCommand {
	r := c.Registration
	known := x.byID[r.Id]
	if known == nil || known.BornUnixMilli != r.BornUnixMilli || !x.isReadmitted(known) {
		return c
	}
	return &wire.RegistrationCommand{Registration: &wire.Registration{Id: r.Id, BornUnixMilli: r.BornUnixMilli}, Leave: true}
}

// Leave returns the command that a replica submits for a leave message without an incarnation. For a
// target that never had another incarnation it says so by its sequence, which is not applied to the
// state.
func (x *Index) Leave(id string) *wire.RegistrationCommand {
	r := &wire.Registration{Id: id}
	if x.first[id] {
		r.Sequence = finalSequence
	}
	return &wire.RegistrationCommand{Registration: r, Leave: true}
}

// AmbiguousLeave returns the incarnation that is registered under an id if a leave message without an
// incarnation may be a late one of another incarnation.
func (x *Index) AmbiguousLeave(id string) (current Incarnation, ambiguous bool) {
	known := x.byID[id]
	if known == nil || known.BornUnixMilli == 0 || known.Draining || x.first[id] {
		return Incarnation{}, false
	}
	return IncarnationOf(known), true
}
