package discoverylab

import "testing"

// No two reservations are of one network, and one that is closed can be had again.
func TestReservedNetworksDiffer(t *testing.T) {
	seen := map[int]bool{}
	for range 20 {
		network, err := ReserveNetwork()
		if err != nil {
			t.Fatal(err)
		}
		defer network.Close()
		if network.Number < 1 || network.Number > networks || seen[network.Number] {
			t.Errorf("network %d is out of bounds or reserved twice", network.Number)
		}
		seen[network.Number] = true
	}
	again, err := ReserveNetwork()
	if err != nil {
		t.Fatal(err)
	}
	again.Close()
	other, err := ReserveNetwork()
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	if other.Number != again.Number {
		t.Errorf("network %d was closed, and %d is reserved", again.Number, other.Number)
	}
}
