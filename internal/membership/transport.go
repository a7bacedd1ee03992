package membership

import (
	"io"
	"log"
	"net"
	"time"

	"github.com/hashicorp/memberlist"
)

// sourced is memberlist's transport, calling from the member's own address over TCP too, as it does over UDP: whoever
// is called, a relay say, can tell who calls.
type sourced struct {
	*memberlist.NetTransport
	ip net.IP
}

func newTransport(host string, port int, out io.Writer) (*sourced, error) {
	t, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{host}, BindPort: port, Logger: log.New(out, "", 0)})
	if err != nil {
		return nil, err
	}
	return &sourced{t, net.ParseIP(host)}, nil
}

// DialTimeout and DialAddressTimeout: see memberlist.NodeAwareTransport.
func (s *sourced) DialTimeout(addr string, limit time.Duration) (net.Conn, error) {
	return s.DialAddressTimeout(memberlist.Address{Addr: addr}, limit)
}

func (s *sourced) DialAddressTimeout(a memberlist.Address, limit time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: limit, LocalAddr: &net.TCPAddr{IP: s.ip}}
	return d.Dial("tcp", a.Addr)
}
