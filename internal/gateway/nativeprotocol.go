package gateway

import (
	"crypto/rand"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"ledgesill.dev/ledgesill/pkg/caller"
	"ledgesill.dev/ledgesill/pkg/targetstatus"
)

// NativeProtocol returns the headers of the project's native interface. A request without an id
// gets one, so that its response can be told from others.
func NativeProtocol() Protocol {
	return Protocol{
		RequestID:    "Ledgesill-Request-Id",
		AffinityKey:  "Ledgesill-Object",
		Deadline:     "Ledgesill-Deadline-Millis",
		ExpectTarget: "Ledgesill-Expect-Target",
		WorkspaceKey: "Ledgesill-Key",
		Workspace:    "Ledgesill-Workspace",
		NewRequestID: rand.Text,
		Status: targetstatus.Headers{
			NotRun:          "Ledgesill-Not-Run",
			Load:            "Ledgesill-Load",
			WarmupRemaining: "Ledgesill-Cold-Millis",
			Limit:           caller.HeaderLimit,
			Leaving:         caller.HeaderLeaving,
			ParseLoad:       targetstatus.ParseLoad,
			ParseWarmup:     parseColdMillis,
		},
	}
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
