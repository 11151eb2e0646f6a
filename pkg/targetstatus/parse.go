package targetstatus

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	retryAfter = "Retry-After"
	// maxBackOff keeps the sum of a time and a back-off within the range of time.Time.
	maxBackOff = 100 * 365 * 24 * time.Hour
)

// ParseRetryAfter parses the Retry-After header of a response: seconds, with or without a
// fraction, or a date. A date in the past gives zero.
func ParseRetryAfter(header http.Header, timeOfDay func() time.Time) (wait time.Duration, ok bool) {
	return parseRetryAfter(header.Get(retryAfter), header.Get("Date"), timeOfDay)
}

// parseRetryAfter interprets a date relative to the Date of the response, because the
// clocks of the target and the box may differ.
func parseRetryAfter(text, date string, timeOfDay func() time.Time) (wait time.Duration, ok bool) {
	text = strings.TrimSpace(text)
	if seconds, err := strconv.ParseFloat(text, 64); err == nil {
		return backOffFromSeconds(seconds)
	}
	until, err := http.ParseTime(text)
	if err != nil {
		return 0, false
	}
	answered, err := http.ParseTime(date)
	if err != nil {
		answered = timeOfDay()
	}
	return min(max(until.Sub(answered), 0), maxBackOff), true
}

func backOffFromSeconds(seconds float64) (wait time.Duration, ok bool) {
	if math.IsNaN(seconds) || math.IsInf(seconds, 0) || seconds < 0 {
		return 0, false
	}
	if seconds >= maxBackOff.Seconds() {
		return maxBackOff, true
	}
	return time.Duration(seconds * float64(time.Second)), true
}

// ParseLimit parses the limit of a target: requests per second, a decimal number.
func ParseLimit(text string) (perSecond float64, ok bool) {
	n, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	return n, err == nil && n >= 0 && !math.IsInf(n, 0)
}

const (
	// minLoadFields is the number of fields that a load has at least: requests running, requests
	// waiting, slots.
	minLoadFields = 3
	// workTimeField is the index of the field that tells how long work takes.
	workTimeField = 3
	// maxWorkTime is the longest work time that is believed, in percent of the usual.
	maxWorkTime = 10000
)

// ParseLoad parses a load: requests running, requests waiting and slots, separated by commas. A
// fourth field is the work time in percent of the usual; it is ignored if it can't be used, and so
// are further fields.
func ParseLoad(text string) (Load, bool) {
	parts := strings.Split(text, ",")
	if len(parts) < minLoadFields {
		return Load{}, false
	}
	var numbers [minLoadFields]int
	for i, p := range parts[:minLoadFields] {
		n, err := strconv.Atoi(strings.TrimSpace(p))
		if err != nil || n < 0 {
			return Load{}, false
		}
		numbers[i] = n
	}
	l := Load{Running: numbers[0], Waiting: numbers[1], Slots: numbers[2]}
	if len(parts) > workTimeField {
		l.WorkTime = parseWorkTime(parts[workTimeField])
	}
	return l, true
}

// hasWorkTime reports whether a load has a work time, usable or not.
func hasWorkTime(text string) bool { return strings.Count(text, ",") >= workTimeField }

// parseWorkTime returns zero for a work time that can't be used.
func parseWorkTime(text string) int {
	n, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || math.IsNaN(n) || n < 1 || n > maxWorkTime {
		return 0
	}
	return int(n)
}
