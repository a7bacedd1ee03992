package node

import (
	"log/slog"
	"sync"
	"time"
)

// refusalLogInterval is the time between two log lines about one reason: floods of requests must not become floods of lines.
const refusalLogInterval = time.Second

// refusalReason says why the node refused a request, ended it or closed its connection.
type refusalReason int

const (
	refusedBusy           refusalReason = iota // as many requests are open as may be
	refusedNoMemory                            // the budget has no memory for it
	refusedDraining                            // it came too late in a drain
	refusedBadRequest                          // it is malformed, or not as its class requires
	refusedManyFields                          // its head has too many fields
	refusedRepeatedID                          // its id was used before
	closedIdle                                 // an idle connection was closed for others
	closedSlowHead                             // its head came too slowly while connections were short
	closedStalledBody                          // its client stopped within the body while memory or connections were short
	closedHungReader                           // its client took none of a long answer
	endedOverdue                               // it had no answer by its deadline
	endedClientLeft                            // its client left before the answer
	endedNoPlaceForAnswer                      // there was no place for its long answer
	refusalReasons
)

// refusalTexts are the reasons as the log has them.
var refusalTexts = [refusalReasons]string{
	refusedBusy:           "too many open requests",
	refusedNoMemory:       "no memory",
	refusedDraining:       "draining",
	refusedBadRequest:     "bad request",
	refusedManyFields:     "too many header fields",
	refusedRepeatedID:     "id used before",
	closedIdle:            "idle connection closed for others",
	closedSlowHead:        "slow head closed for others",
	closedStalledBody:     "stalled body ended for others",
	closedHungReader:      "hung reader",
	endedOverdue:          "overdue",
	endedClientLeft:       "client left",
	endedNoPlaceForAnswer: "no place for a long answer",
}

// refusals counts refusals by their reason, and logs the counts.
type refusals struct {
	mu     sync.Mutex // guards the fields below
	counts [refusalReasons]int
	lastID [refusalReasons]string // of the last request refused for a reason, or empty
}

// note counts a refusal. id is the request's id, or empty if it is not known. A nil r is allowed.
func (r *refusals) note(reason refusalReason, id string) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[reason]++
	r.lastID[reason] = id
}

// log logs one line for each reason that has occurred since the last call.
func (r *refusals) log(log *slog.Logger) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for reason, count := range r.counts {
		if count > 0 {
			log.Info("requests refused or ended", "reason", refusalTexts[reason], "count", count, "last_id", r.lastID[reason])
		}
	}
	clear(r.counts[:])
}
