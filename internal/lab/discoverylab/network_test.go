package discoverylab

import "testing"

// Open reservations never share a network, and a network can be reserved again after its reservation is closed.
func TestReservedNetworksDiffer(t *testing.T) {
	seen := map[int]bool{}
	for range 20 {
		network, err := ReserveNetwork()
		if err != nil {
			t.Fatal(err)
		}
		defer network.Close()
		if network.Number < 1 || network.Number > networkCount || seen[network.Number] {
			t.Errorf("network number %d is out of range or reserved twice", network.Number)
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
		t.Errorf("network %d was released, but the next reservation is network %d", again.Number, other.Number)
	}
}
