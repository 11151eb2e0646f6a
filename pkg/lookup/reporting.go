package lookup

import "time"

// Reports of entry boxes to the control replicas. Each box tells every replica
// that it serves, so a replica takes one report a box and interval; the
// interval grows with the number of boxes to bound that.
const (
	leastReportInterval = 500 * time.Millisecond
	// mostReportInterval keeps a box that is gone out of the answers within
	// the 6 s that the users' deployments allow at least.
	mostReportInterval = 1800 * time.Millisecond
	// reportSpacing is the time that a replica has for one report: some 140 a
	// second take a few parts in a hundred of a core.
	reportSpacing = 7 * time.Millisecond
	// freshIntervals is for how many intervals a report counts: two may be lost.
	freshIntervals = 3.2
)

// ReportInterval returns how often one of a number of boxes reports.
func ReportInterval(boxes int) time.Duration {
	return min(max(time.Duration(boxes)*reportSpacing, leastReportInterval), mostReportInterval)
}

// ReportValidity returns for how long the report of one of a number of boxes
// counts.
func ReportValidity(boxes int) time.Duration {
	return time.Duration(freshIntervals * float64(ReportInterval(boxes)))
}
