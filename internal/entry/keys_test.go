package entry

import (
	"testing"
	"time"

	"ledgesill.dev/ledgesill/internal/config"
	"ledgesill.dev/ledgesill/internal/process"
	"ledgesill.dev/ledgesill/pkg/requestkey"
)

// A caller may leave while the witness records the start of its key: then
// nothing is sent, and nothing breaks.
func TestCallerLeavesWhileTheStartIsRecorded(t *testing.T) {
	d := &Daemon{config: config.Entry{Common: config.Common{Name: "b1"}}, process: &process.Process{Incarnation: "i"}}
	k := newKeys(d)
	k.attempt(&requestkey.Begin{Token: 7, Key: requestkey.Key{Scope: requestkey.Scope{Owner: "b1", OwnerIncarnation: "i", IssuedAt: time.Now()}}})
}
