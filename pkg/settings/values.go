package settings

import "time"

// Values holds the effective settings at one path as typed values.
type Values struct {
	AnswerTTL          time.Duration
	RequestTimeout     time.Duration
	ReserveShare       int
	RefuseFirst        string
	QueueLimit         int
	QueueWait          time.Duration
	RetryBudgetShare   int
	RetryAttempts      int
	HedgeAfter         time.Duration
	SecondAttemptShare int
	Policy             string
	Ramp               time.Duration
	EjectAfterFailures int
	EjectShare         int
	EjectFor           time.Duration
	ReportInterval     time.Duration
	MeasurementLag     time.Duration
	ShiftCapShare      int
	ShiftStepShare     int
	Lease              time.Duration
	KeyRetention       time.Duration
}

// Values returns the effective settings at a path.
func (t Tree) Values(p Path) Values {
	return Values{
		AnswerTTL:          milliseconds(t.integer(p, AnswerTTLMillis)),
		RequestTimeout:     milliseconds(t.integer(p, RequestTimeoutMillis)),
		ReserveShare:       t.integer(p, ReserveShare),
		RefuseFirst:        t.Get(p, RefuseFirst),
		QueueLimit:         t.integer(p, QueueLimit),
		QueueWait:          milliseconds(t.integer(p, QueueWaitMillis)),
		RetryBudgetShare:   t.integer(p, RetryBudgetShare),
		RetryAttempts:      t.integer(p, RetryAttempts),
		HedgeAfter:         milliseconds(t.integer(p, HedgeAfterMillis)),
		SecondAttemptShare: t.integer(p, SecondAttemptShare),
		Policy:             t.Get(p, Policy),
		Ramp:               milliseconds(t.integer(p, RampMillis)),
		EjectAfterFailures: t.integer(p, EjectAfterFailures),
		EjectShare:         t.integer(p, EjectShare),
		EjectFor:           milliseconds(t.integer(p, EjectMillis)),
		ReportInterval:     milliseconds(t.integer(p, ReportIntervalMillis)),
		MeasurementLag:     milliseconds(t.integer(p, MeasurementLagMillis)),
		ShiftCapShare:      t.integer(p, ShiftCapShare),
		ShiftStepShare:     t.integer(p, ShiftStepShare),
		Lease:              milliseconds(t.integer(p, LeaseMillis)),
		KeyRetention:       milliseconds(t.integer(p, KeyKeepMillis)),
	}
}
