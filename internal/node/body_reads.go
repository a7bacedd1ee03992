package node

import (
	"net/http"
	"sync"
	"time"
)

const (
	bodyMemoryWait     = 300 * time.Millisecond // for memory for a body, which waits in the kernel meanwhile
	bodyMemoryInterval = 20 * time.Millisecond  // between attempts to get it
	stalledBodyTime    = 500 * time.Millisecond // without any byte, after which a body's memory is taken for others
)

// errNoMemory is the error of a request for which the budget has no memory.
var errNoMemory = &requestError{http.StatusServiceUnavailable, "no memory for the request"}

// bodyReads are the bodies of the requests that are being served, by the clients' connections.
type bodyReads struct {
	refusals *refusals

	mu    sync.Mutex // guards reads
	reads map[*clientConn]*pacedBody
}

// add adds a body whose reading begins.
func (b *bodyReads) add(client *clientConn, body *pacedBody) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.reads == nil {
		b.reads = map[*clientConn]*pacedBody{}
	}
	body.lastRead.Store(time.Now().UnixNano())
	b.reads[client] = body
}

// remove removes the body of a request that is over. There may be none.
func (b *bodyReads) remove(client *clientConn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.reads, client)
}

// interruptStalled ends the reading of bodies whose clients have stopped within them, so that others get their memory.
func (b *bodyReads) interruptStalled() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for client, body := range b.reads {
		if body.waits.Load() && time.Since(time.Unix(0, body.lastRead.Load())) > stalledBodyTime {
			b.refusals.note(closedStalledBody, "")
			body.interrupt()
			delete(b.reads, client)
		}
	}
}

// growForBody takes memory for a body. It waits for that for a while, unless connections are short.
func (f *frontend) growForBody(held *memoryHold, bytes int64) bool {
	for end := time.Now().Add(bodyMemoryWait); !held.grow(bytes); time.Sleep(bodyMemoryInterval) {
		if time.Now().After(end) || f.connections.isCrowded() {
			return false
		}
		f.bodyReads.interruptStalled()
	}
	return true
}
