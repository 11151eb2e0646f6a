package admission

import "ledgesill.dev/ledgesill/pkg/settings"

// FromSettings returns the pool configuration for a service's settings. The round-robin policy has
// no reserve.
func FromSettings(s settings.Service) Config {
	v := s.Values
	c := Config{
		RoundRobin:         v.Policy == settings.RoundRobin,
		Slots:              min(s.Slots, s.Connections),
		ReserveShare:       v.ReserveShare,
		QueueLimit:         v.QueueLimit,
		MaxQueueWait:       v.QueueWait,
		ForeignShare:       v.ShiftCapShare,
		RampUp:             v.Ramp,
		EjectAfterFailures: v.EjectAfterFailures,
		EjectShare:         v.EjectShare,
		EjectionTime:       v.EjectFor,
		MaxRequestTime:     v.RequestTimeout,
	}
	class := Repeatable
	switch v.RefuseFirst {
	case settings.Unrepeatable:
		class = Unrepeatable
		c.RefuseFirst = &class
	case settings.Repeatable:
		c.RefuseFirst = &class
	}
	if c.RoundRobin {
		c.ReserveShare = 0
	}
	return c
}
