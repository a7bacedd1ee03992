package policy

import (
	"math"
	"time"
)

// randomSource is a splitmix64 generator: the same seed gives the same numbers on every machine.
type randomSource struct{ state uint64 }

// splitMixIncrement is splitmix64's constant.
const splitMixIncrement = 0x9e3779b97f4a7c15

func newRandomSource(seed int64) randomSource {
	return randomSource{state: uint64(seed)*2 + 1}
}

// float64 returns a number in [0,1).
func (r *randomSource) float64() float64 {
	r.state += splitMixIncrement
	return float64(mixBits(r.state)>>11) / (1 << 53)
}

// jitter returns a duration between half of d and one and a half times d.
func (r *randomSource) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.5 + r.float64()))
}

// mixBits spreads the bits of a number as splitmix64 does.
func mixBits(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// decay returns what is left of 1 after a time, with an exponential time constant in seconds.
func decay(since time.Duration, tau float64) float64 { return math.Exp(-since.Seconds() / tau) }
