package membership

import (
	"testing"
	"time"
)

const second = int64(time.Second)

// Both sides of a split of 30 members into 20 and 10 divide by 30 for Hold, then by their own size. After the heal, the larger number
// counts at once.
func TestSizerIsSafeOnBothSidesOfASplit(t *testing.T) {
	majority, minority := Sizer{Stable: time.Second, Hold: 10 * time.Second}, Sizer{Stable: time.Second, Hold: 10 * time.Second}
	for now := int64(0); now <= 2*second; now += second / 2 {
		majority.Observe(30, now)
		minority.Observe(30, now)
	}
	for now := 3 * second; now < 13*second; now += second / 2 {
		majoritySize, _, majoritySure := majority.Observe(20, now)
		minoritySize, _, minoritySure := minority.Observe(10, now)
		if majoritySize != 30 || minoritySize != 30 || majoritySure || minoritySure {
			t.Fatalf("at %d s the sides divide by %d and %d, want 30 and not sure", now/second, majoritySize, minoritySize)
		}
	}
	if majoritySize, _, sure := majority.Observe(20, 13*second); majoritySize != 20 || !sure {
		t.Errorf("after Hold: size %d, sure %v, want 20 and true", majoritySize, sure)
	}
	if majoritySize, _, _ := majority.Observe(30, 14*second); majoritySize != 30 {
		t.Errorf("at the heal: size %d, want 30", majoritySize)
	}
}

func TestSizerCountsGrowthAtOnceAndAgreesAfterStable(t *testing.T) {
	sizer := Sizer{Stable: time.Second, Hold: 5 * time.Second}
	if size, agreed, _ := sizer.Observe(4, 0); size != 4 || agreed != 4 {
		t.Fatalf("first observation: size %d, agreed %d, want 4 and 4", size, agreed)
	}
	if size, agreed, sure := sizer.Observe(6, second/2); size != 6 || agreed != 4 || sure {
		t.Errorf("after growth: size %d, agreed %d, sure %v, want 6, 4 and false", size, agreed, sure)
	}
	if _, agreed, sure := sizer.Observe(6, 2*second); agreed != 6 || !sure {
		t.Errorf("once the size has not changed for Stable: agreed %d, sure %v, want 6 and true", agreed, sure)
	}
}
