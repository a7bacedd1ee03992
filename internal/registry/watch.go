package registry

import (
	"context"
	"fmt"
	"net/url"
	"strconv"
	"time"
)

// WatchQuery is the query of a read as PROTOCOL specifies it: ?since=V&timeout_ms=T, with T at most 60,000.
type WatchQuery struct {
	IsWatch bool // whether the query has since
	Since   uint64
	Timeout time.Duration // how long to wait for a change after Since; 0 answers at once
}

// ParseWatchQuery parses a query. A since that is not a number is an error; an invalid timeout_ms counts as 0.
func ParseWatchQuery(q url.Values) (WatchQuery, error) {
	w := WatchQuery{IsWatch: q.Has("since")}
	if w.IsWatch {
		var err error
		if w.Since, err = strconv.ParseUint(q.Get("since"), 10, 64); err != nil {
			return w, fmt.Errorf("since: %w", err)
		}
	}
	if ms, err := strconv.Atoi(q.Get("timeout_ms")); err == nil && ms > 0 {
		w.Timeout = time.Duration(min(ms, 60_000)) * time.Millisecond
	}
	return w, nil
}

// Await returns when changed is closed, after d, or when ctx is done, whichever comes first.
func Await(ctx context.Context, changed <-chan struct{}, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-ctx.Done():
	}
}
