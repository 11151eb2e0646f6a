package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootOffset returns how far CLOCK_BOOTTIME is ahead of the monotonic clock, or zero if the
// kernel has no such clock. It reads CLOCK_BOOTTIME first: time that passes between the two
// readings makes the result too small, never too large.
func bootOffset() time.Duration {
	var boot, monotonic unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - monotonic.Nano())
}
