package policy

import (
	"math"
	"time"
)

// randomSource is a splitmix64 generator: the same seed gives the same numbers on every machine.
type randomSource struct{ state uint64 }

// splitMixIncrement is the increment of splitmix64's state.
const splitMixIncrement = 0x9e3779b97f4a7c15

func newRandomSource(seed int64) randomSource {
	return randomSource{state: uint64(seed)*2 + 1}
}

// float64 returns a random number in [0,1).
func (r *randomSource) float64() float64 {
	r.state += splitMixIncrement
	return float64(mixBits(r.state)>>11) / (1 << 53)
}

// jitter returns a random duration from 0.5 to 1.5 times d.
func (r *randomSource) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.5 + r.float64()))
}

// mixBits is the output function of splitmix64, which mixes the bits of a number.
func mixBits(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// decay returns the factor of an exponential decay over a time, with the time constant tau in seconds.
func decay(since time.Duration, tau float64) float64 { return math.Exp(-since.Seconds() / tau) }
