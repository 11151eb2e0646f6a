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

// loadFields is the number of fields of a load: requests running, requests waiting, slots.
const loadFields = 3

// ParseLoad parses a load: requests running, requests waiting and slots, separated by
// commas.
func ParseLoad(text string) (Load, bool) {
	parts := strings.Split(text, ",")
	if len(parts) != loadFields {
		return Load{}, false
	}
	var numbers [loadFields]int
	for i, p := range parts {
		n, err := strconv.Atoi(strings.TrimSpace(p))
		if err != nil || n < 0 {
			return Load{}, false
		}
		numbers[i] = n
	}
	return Load{Running: numbers[0], Waiting: numbers[1], Slots: numbers[2]}, true
}
