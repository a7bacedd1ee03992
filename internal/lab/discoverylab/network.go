package discoverylab

import (
	"errors"
	"fmt"
	"net"
	"os"
)

// networkCount is the number of networks that can be reserved on a machine.
const networkCount = 250

// Network is a reserved part of the loopback addresses: 127.X.N.1 to 127.X.N.250 for every X that the lab's packages use,
// where N is Number. An open listener keeps other processes from reserving the network until Close or the end of this process.
type Network struct {
	Number   int // 1 to 250
	listener net.Listener
}

// ReserveNetwork reserves a network that no process on this machine has reserved yet.
func ReserveNetwork() (*Network, error) {
	start := os.Getpid()
	for i := range networkCount {
		number := (start+i)%networkCount + 1
		listener, err := net.Listen("tcp", fmt.Sprintf("127.3.%d.254:6500", number))
		if err == nil {
			return &Network{Number: number, listener: listener}, nil
		}
	}
	return nil, errors.New("all networks of loopback addresses are reserved")
}

// Close releases the reservation.
func (n *Network) Close() { n.listener.Close() }
