//go:build !linux

package boottime

import "time"

// bootOffset returns zero: suspensions are not detected on this system.
func bootOffset() time.Duration { return 0 }
