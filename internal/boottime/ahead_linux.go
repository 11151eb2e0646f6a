package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// ahead reads CLOCK_BOOTTIME before the steady clock: time that passes between the two
// makes the difference too small, never too large. It is zero where the kernel has no such
// clock.
func ahead() time.Duration {
	var boot, steady unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - steady.Nano())
}
