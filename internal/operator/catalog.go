package operator

// RoutesVerdict tells which document of routes was accepted.
type RoutesVerdict struct {
	Number uint64 `json:"number"`
}

// Target is a registered target.
type Target struct {
	ID       string `json:"id"`
	Service  string `json:"service"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Software string `json:"software,omitempty"`
	Slots    uint32 `json:"slots"`
	Draining bool   `json:"draining,omitempty"`
	// ColdMillis is how much longer the target stays cold, as of its last word.
	ColdMillis int64 `json:"coldMillis,omitempty"`
	// Sequence grows with every word of the target.
	Sequence uint64 `json:"sequence"`
	// BornMillis is when the target started, in Unix milliseconds; 0 if not told.
	BornMillis int64 `json:"bornMillis,omitempty"`
}

// Evacuations are the zones whose targets get nothing.
type Evacuations struct {
	Zones []string `json:"zones"`
}

// Gateways are the addresses that a caller is to use, best first.
type Gateways struct {
	Addresses []string `json:"addresses"`
	TTLMillis int64    `json:"ttlMillis"`
}
