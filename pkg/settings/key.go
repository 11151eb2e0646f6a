// Package settings implements hierarchical settings: defaults at the root and
// overrides for regions, availability zones and services below.
//
// A Tree is an immutable value. Every key has a type and a range, and a tree is
// validated as a whole before it is accepted.
package settings

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Kind is the value type of a key.
type Kind string

// The value types.
const (
	Integer Kind = "integer"
	Boolean Kind = "boolean"
	Choice  Kind = "choice"
	List    Kind = "list"
)

// Key describes one settings key.
type Key struct {
	Name string
	Kind Kind
	// Unit is the unit of an integer: ms, percent, slots and so on.
	Unit     string
	Min, Max int
	Choices  []string
	Default  string
	// ZoneOnly keys may be set only at an availability zone, ServiceOnly keys only at a
	// service of a zone.
	ZoneOnly    bool
	ServiceOnly bool
	Doc         string
}

// Key names.
const (
	AnswerTTLMillis      = "answerTtlMillis"
	RequestTimeoutMillis = "requestTimeoutMillis"
	ReserveShare         = "reserveShare"
	RefuseFirst          = "refuseFirst"
	QueueLimit           = "queueLimit"
	QueueWaitMillis      = "queueWaitMillis"
	RetryBudgetShare     = "retryBudgetShare"
	RetryAttempts        = "retryAttempts"
	HedgeAfterMillis     = "hedgeAfterMillis"
	SecondAttemptShare   = "secondAttemptShare"
	LocalObjects         = "localObjects"
	Policy               = "policy"
	Slots                = "slots"
	Connections          = "connections"
	RampMillis           = "rampMillis"
	EjectAfterFailures   = "ejectAfterFailures"
	EjectShare           = "ejectShare"
	EjectMillis          = "ejectMillis"
	ReportIntervalMillis = "reportIntervalMillis"
	MeasurementLagMillis = "measurementLagMillis"
	ShiftCapShare        = "shiftCapShare"
	ShiftStepShare       = "shiftStepShare"
	LeaseMillis          = "leaseMillis"
	LeaseWitness         = "leaseWitness"
	LeaseVoters          = "leaseVoters"
	KeyKeepMillis        = "keyKeepMillis"
	Drain                = "drain"
	DrainBoxes           = "drainBoxes"
	DrainTargets         = "drainTargets"
	EntryBoxes           = "entryBoxes"
	Targets              = "targets"
)

// Values of the keys policy and refuseFirst.
const (
	RoundRobin   = "roundRobin"
	LeastLoaded  = "leastLoaded"
	Repeatable   = "repeatable"
	Unrepeatable = "unrepeatable"
	NoPreference = "none"
)

var keys = []Key{
	{Name: AnswerTTLMillis, Kind: Integer, Unit: "ms", Min: 100, Max: 60_000, Default: "1000", Doc: "how long a caller may keep the answer of a look-up"},
	{Name: RequestTimeoutMillis, Kind: Integer, Unit: "ms", Min: 50, Max: 600_000, Default: "10000", Doc: "deadline of a request that names none"},
	{Name: ReserveShare, Kind: Integer, Unit: "percent", Min: 0, Max: 50, Default: "10", Doc: "share of a pool's slots kept free of the class that refuseFirst names and of shifts"},
	{Name: RefuseFirst, Kind: Choice, Choices: []string{Repeatable, Unrepeatable, NoPreference}, Default: Repeatable, Doc: "class of requests that is refused first under overload"},
	{Name: QueueLimit, Kind: Integer, Unit: "requests", Min: 0, Max: 10_000, Default: "64", Doc: "requests that may wait for a slot of a pool"},
	{Name: QueueWaitMillis, Kind: Integer, Unit: "ms", Min: 0, Max: 10_000, Default: "100", Doc: "longest wait for a slot"},
	{Name: RetryBudgetShare, Kind: Integer, Unit: "percent", Min: 0, Max: 100, Default: "10", Doc: "retries and hedges as a share of first attempts"},
	{Name: RetryAttempts, Kind: Integer, Unit: "attempts", Min: 1, Max: 5, Default: "3", Doc: "attempts of one repeatable request, the first included"},
	{Name: HedgeAfterMillis, Kind: Integer, Unit: "ms", Min: 0, Max: 60_000, Default: "0", Doc: "wait before a second attempt beside the first; 0 for none"},
	{Name: SecondAttemptShare, Kind: Integer, Unit: "percent", Min: 0, Max: 20, Default: "5", Doc: "largest share of a service's requests that boxes of kind gateway send to a second target because the first takes unusually long; 0 for none"},
	{Name: LocalObjects, Kind: Boolean, Default: "false", Doc: "boxes of kind gateway keep the home targets of objects in their own region as far as its targets serve its callers"},
	{Name: Policy, Kind: Choice, Choices: []string{RoundRobin, LeastLoaded}, Default: LeastLoaded, Doc: "choice of target; roundRobin is the baseline, without queue, retries and ejection"},
	{Name: Slots, Kind: Integer, Unit: "slots", Min: 1, Max: 10_000, Default: "1", Doc: "requests a target runs at once"},
	{Name: Connections, Kind: Integer, Unit: "connections", Min: 1, Max: 100_000, Default: "330", Doc: "connections a target holds"},
	{Name: RampMillis, Kind: Integer, Unit: "ms", Min: 0, Max: 600_000, Default: "5000", Doc: "time over which a cold target is given all of its slots"},
	{Name: EjectAfterFailures, Kind: Integer, Unit: "failures", Min: 1, Max: 100, Default: "3", Doc: "failures in a row after which a target is left out"},
	{Name: EjectShare, Kind: Integer, Unit: "percent", Min: 0, Max: 100, Default: "34", Doc: "largest share of a pool's targets left out at once"},
	{Name: EjectMillis, Kind: Integer, Unit: "ms", Min: 100, Max: 600_000, Default: "2000", Doc: "how long a target is left out the first time"},
	{Name: ReportIntervalMillis, Kind: Integer, Unit: "ms", Min: 50, Max: 60_000, Default: "500", Doc: "how often a target's health and load are read"},
	{Name: MeasurementLagMillis, Kind: Integer, Unit: "ms", Min: 100, Max: 600_000, Default: "2000", Doc: "age after which a measurement no longer lets a shift grow"},
	{Name: ShiftCapShare, Kind: Integer, Unit: "percent", Min: 1, Max: 100, Default: "20", Doc: "largest share of a home region's traffic that may be on the move at once, and that a region takes as failover"},
	{Name: ShiftStepShare, Kind: Integer, Unit: "percent", Min: 1, Max: 100, Default: "5", Doc: "share moved by one step of a shift"},
	{Name: LeaseMillis, Kind: Integer, Unit: "ms", Min: 200, Max: 2_000, Default: "2000", Doc: "length of the lease on a pool"},
	{Name: KeyKeepMillis, Kind: Integer, Unit: "ms", Min: 1000, Max: 3_600_000, Default: "600000", Doc: "how long a request key is kept"},
	{Name: Drain, Kind: Boolean, Default: "false", Doc: "no new work here: at a region, a zone or a service of one"},
	{Name: LeaseWitness, Kind: List, ZoneOnly: true, Doc: "name of an entry box of another zone that also votes on this zone's leases; at most one"},
	{Name: LeaseVoters, Kind: List, ZoneOnly: true, Doc: "names of the entry boxes of this zone that vote on its leases; all if it is empty; three to five are enough for a large zone"},
	{Name: DrainBoxes, Kind: List, ZoneOnly: true, Doc: "names of entry boxes that look-ups leave out"},
	{Name: EntryBoxes, Kind: List, ZoneOnly: true, Doc: "entry boxes as name=callerAddress+peerAddress"},
	{Name: DrainTargets, Kind: List, ServiceOnly: true, Doc: "names of targets that get no new work"},
	{Name: Targets, Kind: List, ServiceOnly: true, Doc: "targets as name=address"},
}

// Keys returns the descriptions of all keys in the order of the documentation.
func Keys() []Key { return slices.Clone(keys) }

// Lookup returns the description of a key.
func Lookup(name string) (Key, bool) {
	i := slices.IndexFunc(keys, func(k Key) bool { return k.Name == name })
	if i < 0 {
		return Key{}, false
	}
	return keys[i], true
}

// AllowedValues describes the values that the key accepts.
func (k Key) AllowedValues() string {
	switch k.Kind {
	case Integer:
		return fmt.Sprintf("%d to %d %s", k.Min, k.Max, k.Unit)
	case Boolean:
		return "true or false"
	case Choice:
		return strings.Join(k.Choices, ", ")
	case List:
		return "a list separated by commas"
	}
	return ""
}

// check returns why the value is refused, or the empty string.
func (k Key) check(value string) string {
	ok := true
	switch k.Kind {
	case Integer:
		n, err := strconv.Atoi(value)
		ok = err == nil && n >= k.Min && n <= k.Max
	case Boolean:
		ok = value == "true" || value == "false"
	case Choice:
		ok = slices.Contains(k.Choices, value)
	case List:
		return k.checkList(value)
	}
	if ok {
		return ""
	}
	return "allowed is " + k.AllowedValues()
}

func (k Key) checkList(value string) string {
	seen := make(map[string]bool)
	for _, item := range splitList(value) {
		if err := k.checkItem(item); err != nil {
			return err.Error()
		}
		name, _, _ := strings.Cut(item, "=")
		if seen[name] {
			return fmt.Sprintf("%q stands twice", name)
		}
		seen[name] = true
	}
	return ""
}

func (k Key) checkItem(item string) error {
	switch k.Name {
	case EntryBoxes:
		_, err := parseBox(item)
		return err
	case Targets:
		_, err := parseTarget(item)
		return err
	}
	return checkName(item)
}

func splitList(value string) []string {
	if value == "" {
		return nil
	}
	items := strings.Split(value, ",")
	for i := range items {
		items[i] = strings.TrimSpace(items[i])
	}
	return items
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }
