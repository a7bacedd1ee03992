package membership

import (
	"io"
	"log"
	"net"
	"time"

	"github.com/hashicorp/memberlist"
)

// sourceBoundTransport is memberlist's transport with outgoing TCP connections bound to the member's own address, as its UDP
// datagrams are already. The receiver, for example a relay, can then tell which member connects to it.
type sourceBoundTransport struct {
	*memberlist.NetTransport
	ip net.IP
}

func newTransport(host string, port int, out io.Writer) (*sourceBoundTransport, error) {
	t, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{host}, BindPort: port, Logger: log.New(out, "", 0)})
	if err != nil {
		return nil, err
	}
	return &sourceBoundTransport{t, net.ParseIP(host)}, nil
}

// DialTimeout connects to addr from the member's own address. It and DialAddressTimeout implement memberlist.NodeAwareTransport.
func (t *sourceBoundTransport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	return t.DialAddressTimeout(memberlist.Address{Addr: addr}, timeout)
}

func (t *sourceBoundTransport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout, LocalAddr: &net.TCPAddr{IP: t.ip}}
	return d.Dial("tcp", a.Addr)
}
