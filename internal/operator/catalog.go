package operator

// RoutesVerdict holds the number of the routes document that was accepted.
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
	// WarmupMillis is the remaining warm-up time of the target, as of its last update.
	WarmupMillis int64 `json:"coldMillis,omitempty"`
	// Sequence grows with every update of the target.
	Sequence uint64 `json:"sequence"`
	// StartedMillis is when the target started, in Unix milliseconds; 0 if unknown.
	StartedMillis int64 `json:"bornMillis,omitempty"`
	// Leaving is set if the target reported in a response that it is shutting down.
	Leaving bool `json:"leaving,omitempty"`
	// Limit is set while the target reports a rate limit for all boxes together.
	Limit *TargetLimit `json:"limit,omitempty"`
}

// TargetLimit is a replica's view of a target's rate limit, with the permits that it
// issued since the target first reported one. Three replicas issue permits for a target.
type TargetLimit struct {
	PerSecond float64 `json:"perSecond"`
	// ReportedAgoMillis is the time since the last reported change of the limit.
	ReportedAgoMillis int64  `json:"saidAgoMillis"`
	Issued            uint64 `json:"issued"`
	DeniedRequests    uint64 `json:"refusedAsks"`
}

// Evacuations are the zones whose targets get no requests.
type Evacuations struct {
	Zones []string `json:"zones"`
}

// Gateways are the addresses that a caller should use, best first.
type Gateways struct {
	Addresses []string `json:"addresses"`
	TTLMillis int64    `json:"ttlMillis"`
}

// Workspaces is what the control replicas know of workspaces and their limits.
type Workspaces struct {
	Workspaces []WorkspaceUsage `json:"workspaces"`
	// Missing are the replicas that did not answer. Their shares of the limits are not
	// counted, and boxes that reach no other replica get no permits of these shares.
	Missing []string `json:"missing,omitempty"`
}

// WorkspaceUsage is the usage of one workspace's limit.
type WorkspaceUsage struct {
	Name string `json:"name"`
	// PerSecond and Burst are the limit; there is none if both are 0.
	PerSecond float64 `json:"perSecond"`
	Burst     float64 `json:"burst"`
	// IssuedPerSecond and DeniedPerSecond are the permits issued, and the permit requests
	// of boxes denied, in the last complete window, summed over all replicas.
	IssuedPerSecond float64 `json:"issuedPerSecond"`
	DeniedPerSecond float64 `json:"refusedPerSecond"`
	// Issued and Denied count them since the replicas started.
	Issued uint64           `json:"issued"`
	Denied uint64           `json:"refused"`
	Shares []WorkspaceShare `json:"parts"`
}

// WorkspaceShare is the share of a limit that one replica holds.
type WorkspaceShare struct {
	Replica string `json:"replica"`
	// Number is that of the routes document whose limits the replica applies, and
	// AgeMillis the time since its last contact with a leader.
	Number    uint64 `json:"number"`
	AgeMillis int64  `json:"ageMillis"`
	// PerSecond is its share, and Available the permits that it could issue at once now.
	PerSecond       float64 `json:"perSecond"`
	Available       float64 `json:"room"`
	IssuedPerSecond float64 `json:"issuedPerSecond"`
	DeniedPerSecond float64 `json:"refusedPerSecond"`
}
