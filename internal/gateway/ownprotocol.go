package gateway

import (
	"crypto/rand"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"ledgesill.dev/ledgesill/pkg/balance"
	"ledgesill.dev/ledgesill/pkg/caller"
	"ledgesill.dev/ledgesill/pkg/quota"
)

// OwnProtocol returns the headers of the project's own interface. A request
// without an id gets one, so that the answer of its target can be told from
// others.
func OwnProtocol() Protocol {
	return Protocol{
		RequestID:    "Ledgesill-Request-Id",
		ObjectKey:    "Ledgesill-Object",
		Deadline:     "Ledgesill-Deadline-Millis",
		ExpectTarget: "Ledgesill-Expect-Target",
		NotExecuted:  "Ledgesill-Not-Run",
		Load:         "Ledgesill-Load",
		ColdLeft:     "Ledgesill-Cold-Millis",
		Limit:        caller.HeaderLimit,
		Key:          "Ledgesill-Key",
		Workspace:    "Ledgesill-Workspace",
		ParseLoad:    ParseLoad,
		ParseCold:    parseColdMillis,
		ParseLimit:   quota.ParseLimit,
		NewRequestID: rand.Text,
	}
}

// loadFields are requests running, requests waiting and slots.
const loadFields = 3

// ParseLoad reads the load that a target tells: requests running, requests
// waiting and slots, separated by commas.
func ParseLoad(text string) (balance.Load, bool) {
	parts := strings.Split(text, ",")
	if len(parts) != loadFields {
		return balance.Load{}, false
	}
	var numbers [loadFields]int
	for i, p := range parts {
		n, err := strconv.Atoi(strings.TrimSpace(p))
		if err != nil || n < 0 {
			return balance.Load{}, false
		}
		numbers[i] = n
	}
	return balance.Load{Running: numbers[0], Waiting: numbers[1], Slots: numbers[2]}, true
}

func parseColdMillis(text string) (time.Duration, bool) {
	n, err := strconv.Atoi(text)
	return time.Duration(n) * time.Millisecond, err == nil && n >= 0
}

// ReadyHandler answers checks at /readyz: 200 while the box serves, else 503.
func ReadyHandler(ready func() bool) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ready")
	})
	return mux
}
