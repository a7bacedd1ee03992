package node

import (
	"fmt"
	"net/http"
	"syscall"

	"golang.org/x/sys/unix"
)

// This file has the limits of requests' heads, besides net/http's limit on their bytes. A head of many short fields takes many
// times its bytes in memory. The limits are checked while the head comes, before net/http makes a header of it.

const maxHeaderFields = 100

// headCostOf returns the bytes of memory that a head takes beyond what is included in the cost of a request.
func headCostOf(bytes, fields int) int64 {
	return headCopies*beyondIncluded(bytes) + headFieldBytes*max(0, int64(fields-includedFields))
}

// headRefusal returns the status for which the head that is coming has to be refused, or 0. Only the reader calls it.
func (c *clientConn) headRefusal() int {
	if c.framing.part != inHead || !c.framing.requestCounted || c.hasRequestInFlight() {
		return 0 // while a request is in flight, ServeHTTP checks the head once the request's turn has come
	}
	if c.framing.headFields > maxHeaderFields {
		return http.StatusRequestHeaderFieldsTooLarge
	}
	if !c.chargeHead() {
		return http.StatusServiceUnavailable
	}
	return 0
}

// chargeHead takes the memory of the head as far as it has come, and reports whether the budget has it.
func (c *clientConn) chargeHead() bool {
	cost := headCostOf(c.framing.headBytes, c.framing.headFields)
	if cost > c.headCost && !c.headHeld.grow(cost-c.headCost) {
		return false
	}
	c.headCost = cost
	return true
}

// refuseHead answers the head that is coming with a status, and ends the connection. The result is for net/http, which answers
// nothing then.
func (c *clientConn) refuseHead(status int) error {
	c.closing.Store(true)
	reason := refusedManyFields
	if status == http.StatusServiceUnavailable {
		reason = refusedNoMemory
	}
	c.conns.refusals.note(reason, "")
	writeOnce(c, refusalText(status))
	return errConnClosing
}

// writeOnce writes as much of a short text as the socket has space for, without waiting.
func writeOnce(s syscall.Conn, text string) {
	raw, err := s.SyscallConn()
	if err != nil {
		return
	}
	raw.Control(func(fd uintptr) { unix.Write(int(fd), []byte(text)) })
}

// refusalText returns an answer that ends its connection.
func refusalText(status int) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status))
}

// hasTooManyFields reports whether a head that came behind another request has more fields than a head may have.
func hasTooManyFields(h http.Header) bool {
	fields := 0
	for _, values := range h {
		fields += len(values)
	}
	return fields > maxHeaderFields
}
