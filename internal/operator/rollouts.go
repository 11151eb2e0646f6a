package operator

// Rollout is the latest roll-out of a service.
type Rollout struct {
	Service        string `json:"service"`
	TargetVersion  string `json:"targetVersion"`
	DurationMillis int64  `json:"durationMillis"`
	Number         uint64 `json:"number,omitempty"`
	// Phase is running, completed or rolledBack, and Reason why the roll-out ended.
	Phase  string `json:"phase,omitempty"`
	Reason string `json:"reason,omitempty"`
	Step   uint32 `json:"step"`
	// Share is the maximum share of the requests that go to the target version.
	Share            float64  `json:"share"`
	PreviousClosed   bool     `json:"previousClosed"`
	PreviousVersions []string `json:"previousVersions,omitempty"`
	// Routes is the evidence of a running roll-out.
	Routes []RolloutRoute `json:"routes,omitempty"`
}

// RolloutRoute counts the responses on one route during a roll-out. Bad ones are failures of a
// target or slow.
type RolloutRoute struct {
	Route           string `json:"route"`
	Answers         uint64 `json:"answers"`
	Bad             uint64 `json:"bad"`
	PreviousAnswers uint64 `json:"previousAnswers"`
	PreviousBad     uint64 `json:"previousBad"`
}
