package replica

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/hashicorp/raft"

	"meadowsill/internal/registry"
)

// staleness returns the time since this replica's last contact with the leader. The bool is true if that is within the
// staleness limit and the replica has applied its own log.
func (rep *Replica) staleness() (time.Duration, bool) {
	if rep.raft.AppliedIndex() < rep.startIndex {
		return time.Since(rep.raft.LastContact()), false // still replaying the log from before a restart
	}
	if rep.raft.State() == raft.Leader {
		return 0, true // raft makes a leader step down when its lease lapses
	}
	if _, id := rep.raft.LeaderWithID(); id == "" {
		return time.Since(rep.raft.LastContact()), false
	}
	age := time.Since(rep.raft.LastContact())
	return age, age <= rep.cfg.Staleness
}

func (rep *Replica) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	watch, err := registry.ParseWatchQuery(q)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if q.Has("consistent") { // linearizable: the leader confirms that it still leads and that it has applied all committed entries
		if rep.raft.State() != raft.Leader {
			rep.notLeader(w)
			return
		}
		if err := rep.raft.VerifyLeader().Error(); err != nil {
			rep.notLeader(w)
			return
		}
		if err := rep.raft.Barrier(5 * time.Second).Error(); err != nil {
			http.Error(w, "not confirmed: "+err.Error(), http.StatusServiceUnavailable)
			return
		}
		watch = registry.WatchQuery{}
	}
	list := rep.fsm.list.Load()
	if watch.IsWatch && watch.Since >= list.view.Version && watch.Timeout > 0 {
		registry.Await(r.Context(), list.changed, watch.Timeout)
		list = rep.fsm.list.Load()
	}
	age, ok := rep.staleness()
	w.Header().Set("X-Last-Contact-Ms", strconv.FormatInt(age.Milliseconds(), 10))
	if !ok {
		http.Error(w, "stale: no leader heard from within the bound", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(list.view.Read(watch.Since, watch.IsWatch))
}

type writeBody struct {
	registry.Entry
	TTLMS int64 `json:"ttl_ms"`
}

func (rep *Replica) write(w http.ResponseWriter, r *http.Request) {
	op := registry.Op(r.PathValue("op"))
	var body writeBody
	dec := json.NewDecoder(io.LimitReader(r.Body, 64<<10))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&body); err != nil {
		http.Error(w, "body: "+err.Error(), http.StatusBadRequest)
		return
	}
	c := registry.Command{Op: op, ID: body.ID, TTLMS: body.TTLMS, NowMS: time.Now().UnixMilli()}
	switch op {
	case registry.Register:
		c.Entry, c.ID = body.Entry, ""
	case registry.Renew, registry.Drain, registry.Deregister:
	default:
		http.Error(w, "no such operation", http.StatusNotFound)
		return
	}
	if rep.raft.State() != raft.Leader {
		rep.notLeader(w)
		return
	}
	res, err := rep.propose(c)
	if err != nil {
		rep.notCommitted(w, err)
		return
	}
	if res.err != nil {
		code := http.StatusBadRequest
		if errors.Is(res.err, registry.ErrUnknown) {
			code = http.StatusNotFound
		}
		http.Error(w, res.err.Error(), code)
		return
	}
	rep.fsm.mu.Lock()
	rev := rep.fsm.state.Revision
	rep.fsm.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"committed":true,"revision":%d}`+"\n", rev)
}

// notCommitted answers a raft error: either this replica is not the leader and the request had no effect, or the outcome of the
// request is unknown.
func (rep *Replica) notCommitted(w http.ResponseWriter, err error) {
	if errors.Is(err, raft.ErrNotLeader) {
		rep.notLeader(w)
		return
	}
	rep.nameLeader(w)
	http.Error(w, "not committed: "+err.Error(), http.StatusServiceUnavailable)
}

// NotLeader begins the answer of a replica that is not the leader. The request had no effect.
const NotLeader = "not the leader"

// notLeader answers 503, with the leader's HTTP address in X-Leader if it is known.
func (rep *Replica) notLeader(w http.ResponseWriter) {
	rep.nameLeader(w)
	http.Error(w, NotLeader, http.StatusServiceUnavailable)
}

func (rep *Replica) nameLeader(w http.ResponseWriter) {
	_, id := rep.raft.LeaderWithID()
	for _, p := range rep.cfg.Peers {
		if raft.ServerID(p.ID) == id {
			w.Header().Set("X-Leader", p.HTTP)
		}
	}
}

func (rep *Replica) status(w http.ResponseWriter, _ *http.Request) {
	_, leader := rep.raft.LeaderWithID()
	rep.fsm.mu.Lock()
	rev := rep.fsm.state.Revision
	rep.fsm.mu.Unlock()
	age, _ := rep.staleness()
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(map[string]any{"id": rep.cfg.Self.ID, "state": rep.raft.State().String(), "leader": string(leader),
		"revision": rev, "applied_index": rep.raft.AppliedIndex(), "last_contact_ms": age.Milliseconds()})
}
