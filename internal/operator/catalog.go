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
	// WarmupMillis is how much longer the target stays cold, as of its last word.
	WarmupMillis int64 `json:"coldMillis,omitempty"`
	// Sequence grows with every word of the target.
	Sequence uint64 `json:"sequence"`
	// StartedMillis is when the target started, in Unix milliseconds; 0 if not told.
	StartedMillis int64 `json:"bornMillis,omitempty"`
	// Leaving tells that the target said in an answer that it leaves.
	Leaving bool `json:"leaving,omitempty"`
	// Limit is set while the target names how much it takes from all boxes together.
	Limit *TargetLimit `json:"limit,omitempty"`
}

// TargetLimit is what a replica knows of a target's limit, and what it issued of it since
// the target first named one. Three replicas issue for a target.
type TargetLimit struct {
	PerSecond float64 `json:"perSecond"`
	// ReportedAgoMillis is how long ago a change of it was heard of.
	ReportedAgoMillis int64  `json:"saidAgoMillis"`
	Issued            uint64 `json:"issued"`
	DeniedRequests    uint64 `json:"refusedAsks"`
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

// Workspaces is what the control replicas know of workspaces and their limits.
type Workspaces struct {
	Workspaces []WorkspaceUsage `json:"workspaces"`
	// Missing are the replicas that did not answer; their parts of the limits are not
	// counted, and boxes that reach no other get nothing of them.
	Missing []string `json:"missing,omitempty"`
}

// WorkspaceUsage is what is used of one workspace's limit.
type WorkspaceUsage struct {
	Name string `json:"name"`
	// PerSecond and Burst are the limit; no limit if they are 0.
	PerSecond float64 `json:"perSecond"`
	Burst     float64 `json:"burst"`
	// IssuedPerSecond are the permits of the last window that is over, and
	// RefusedPerSecond the asks of boxes that got none, over all replicas.
	IssuedPerSecond float64 `json:"issuedPerSecond"`
	DeniedPerSecond float64 `json:"refusedPerSecond"`
	// Issued and Refused count them since the replicas' starts.
	Issued uint64           `json:"issued"`
	Denied uint64           `json:"refused"`
	Shares []WorkspaceShare `json:"parts"`
}

// WorkspaceShare is what one replica holds of a limit.
type WorkspaceShare struct {
	Replica string `json:"replica"`
	// Number is that of the document of routes whose limits the replica goes by, and
	// AgeMillis how long ago it heard of a leader.
	Number    uint64 `json:"number"`
	AgeMillis int64  `json:"ageMillis"`
	// PerSecond is its part, and Room what it could issue at once now.
	PerSecond       float64 `json:"perSecond"`
	Available       float64 `json:"room"`
	IssuedPerSecond float64 `json:"issuedPerSecond"`
	DeniedPerSecond float64 `json:"refusedPerSecond"`
}
