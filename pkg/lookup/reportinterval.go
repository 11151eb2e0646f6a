package lookup

import "time"

// Every entry box reports to every control replica that it serves, so a replica handles
// one report per box and interval. The interval grows with the number of boxes to bound
// that load.
const (
	minReportInterval = 500 * time.Millisecond
	// maxReportInterval ensures that a failed box leaves the answers within 6 s, the
	// shortest time that the users' deployments allow for it.
	maxReportInterval = 1800 * time.Millisecond
	// reportSpacing is a replica's time budget for one report. The resulting 140
	// reports a second or so take a few percent of a core.
	reportSpacing = 7 * time.Millisecond
	// validityIntervals is the number of intervals for which a report is valid, so that
	// two reports may be lost.
	validityIntervals = 3.2
)

// IdleReportInterval is the interval at which a box reports that does not serve yet. It
// does not know how many boxes there are.
const IdleReportInterval = maxReportInterval

// ReportInterval returns the interval at which each of the given number of serving boxes
// reports.
func ReportInterval(boxes int) time.Duration {
	return min(max(time.Duration(boxes)*reportSpacing, minReportInterval), maxReportInterval)
}

// ReportValidity returns how long a report is valid if the given number of boxes
// report.
func ReportValidity(boxes int) time.Duration {
	return time.Duration(validityIntervals * float64(ReportInterval(boxes)))
}
