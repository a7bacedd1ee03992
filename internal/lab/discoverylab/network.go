package discoverylab

import (
	"errors"
	"fmt"
	"net"
	"os"
)

// networks is how many networks there are to reserve.
const networks = 250

// Network is a reserved part of the loopback addresses: 127.X.N.1 to 127.X.N.250 for every X that the lab's packages use,
// N being Number. A listener holds it, so that no other process takes it until Close or this process's end.
type Network struct {
	Number int // 1 to 250
	held   net.Listener
}

// ReserveNetwork reserves a network that no other process of this machine has reserved.
func ReserveNetwork() (*Network, error) {
	first := os.Getpid()
	for i := range networks {
		number := (first+i)%networks + 1
		held, err := net.Listen("tcp", fmt.Sprintf("127.3.%d.254:6500", number))
		if err == nil {
			return &Network{Number: number, held: held}, nil
		}
	}
	return nil, errors.New("all networks of loopback addresses are reserved")
}

// Close ends the reservation.
func (n *Network) Close() { n.held.Close() }
