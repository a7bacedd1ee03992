package membership

import (
	"testing"
	"time"
)

const s = int64(time.Second)

// Both sides of a 20/10 split divide by 30 for the hold; after it each takes up its own size; a heal counts at once.
func TestSizerIsSafeOnBothSidesOfASplit(t *testing.T) {
	big, small := Sizer{Stable: time.Second, Hold: 10 * time.Second}, Sizer{Stable: time.Second, Hold: 10 * time.Second}
	for now := int64(0); now <= 2*s; now += s / 2 {
		big.Observe(30, now)
		small.Observe(30, now)
	}
	for now := 3 * s; now < 13*s; now += s / 2 {
		b, _, sureB := big.Observe(20, now)
		m, _, sureS := small.Observe(10, now)
		if b != 30 || m != 30 || sureB || sureS {
			t.Fatalf("at %ds the sides divide by %d and %d", now/s, b, m)
		}
	}
	if b, _, sure := big.Observe(20, 13*s); b != 20 || !sure {
		t.Errorf("after the hold: %d %v", b, sure)
	}
	if b, _, _ := big.Observe(30, 14*s); b != 30 {
		t.Errorf("at the heal: %d", b)
	}
}

func TestSizerTakesGrowthAtOnceAndAgreesWhenSteady(t *testing.T) {
	z := Sizer{Stable: time.Second, Hold: 5 * time.Second}
	if size, agreed, _ := z.Observe(4, 0); size != 4 || agreed != 4 {
		t.Fatalf("first: %d %d", size, agreed)
	}
	if size, agreed, sure := z.Observe(6, s/2); size != 6 || agreed != 4 || sure {
		t.Errorf("growth: %d %d %v", size, agreed, sure)
	}
	if _, agreed, sure := z.Observe(6, 2*s); agreed != 6 || !sure {
		t.Errorf("steady: %d %v", agreed, sure)
	}
}
