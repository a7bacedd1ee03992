package registry

import (
	"context"
	"fmt"
	"net/url"
	"strconv"
	"time"
)

// WatchQuery is a read's query as PROTOCOL gives it: ?since=V&timeout_ms=T, T at most 60,000.
type WatchQuery struct {
	IsWatch bool // since was given
	Since   uint64
	Timeout time.Duration // how long to wait for something newer than Since; 0 answers at once
}

// ParseWatchQuery reads a query; a since that is not a number is an error.
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

// Await waits for changed to close, d to pass or ctx to end.
func Await(ctx context.Context, changed <-chan struct{}, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-ctx.Done():
	}
}
