package node

import (
	"sync"
	"time"
)

const (
	// maxOvertime is how long an app server that is getting on with a long body may take beyond the client's time. The request
	// is lost half a second after that time.
	maxOvertime = 300 * time.Millisecond
	// maxClientSendBuffer is how many bytes the client's kernel holds at most of those that the client has written.
	maxClientSendBuffer = 8 << 20
)

// answerClock tells by when a request with a long body has to be answered. The client's time counts from the moment at which it
// has written the last byte of its body. The node does not see that moment: it reads the body only as fast as the app server
// takes it, so the last byte may wait unread in the kernel while an app server takes nothing. The clock therefore goes by the last
// moment at which the client can't have written its last byte yet, which is never too late for the client.
type answerClock struct {
	timeout time.Duration // how long the client waits for its answer after the last byte of its body

	mu           sync.Mutex // guards the fields below
	incomplete   bool       // the client can't have written its last byte yet
	incompleteAt time.Time  // the last moment at which incomplete is known to have been true
	serverTookAt time.Time  // when the app server's connection last took bytes of the request
}

// newAnswerClock returns the clock of a request whose client was still sending just before.
func newAnswerClock(timeout time.Duration) *answerClock {
	return &answerClock{timeout: timeout, incompleteAt: time.Now()}
}

// setIncomplete records whether it is certain that the client has not written its last byte yet.
func (c *answerClock) setIncomplete(incomplete bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if incomplete || c.incomplete {
		c.incompleteAt = time.Now()
	}
	c.incomplete = incomplete
}

// serverTook records that the app server's connection has taken bytes of the request.
func (c *answerClock) serverTook() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serverTookAt = time.Now()
}

// deadline returns the time by which the request has to be answered, or the zero time, for no limit, while the client can't have
// written its last byte.
//
// An app server that is still getting on when the client's time is over may be of use to a client that wrote its last byte later
// than the clock knows. It gets maxOvertime, however long it goes on: nothing shows when the client wrote that byte.
func (c *answerClock) deadline() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.incomplete {
		return time.Time{}
	}
	clientDeadline := c.incompleteAt.Add(c.timeout)
	overtime := min(c.timeout, maxOvertime)
	latest := clientDeadline.Add(max(0, overtime))
	switch pauseEnd := c.serverTookAt.Add(overtime); {
	case pauseEnd.After(latest):
		return latest
	case pauseEnd.After(clientDeadline):
		return pauseEnd
	}
	return clientDeadline
}

// untilDeadline returns how long it is until the deadline as it stands now, and at least the client's time if there is none.
func (c *answerClock) untilDeadline() time.Duration {
	deadline := c.deadline()
	if deadline.IsZero() {
		return max(c.timeout, clientCheckInterval)
	}
	return time.Until(deadline)
}
