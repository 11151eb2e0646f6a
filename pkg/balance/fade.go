package balance

import (
	"math"
	"time"
)

// fade returns what is left of 1 after a time with a half-life.
func fade(after, halfLife time.Duration) float64 {
	if after <= 0 {
		return 1
	}
	return math.Exp2(-float64(after) / float64(halfLife))
}

// mix spreads the bits of a number (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
