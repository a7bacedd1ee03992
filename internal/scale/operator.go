package scale

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"meadowsill/internal/fleet"
)

// operator is a client of the operators' API, which the leader of the replicas serves.
type operator struct {
	replicas []string
	client   *http.Client

	mu     sync.Mutex // guards leader
	leader int        // index of the replica that is taken for the leader
}

// The limits of an operator's call.
const (
	proposeTimeout    = 30 * time.Second
	proposeRetryPause = 20 * time.Millisecond
	maxAnswerBytes    = 1 << 20
)

// errConflict is returned when a tenant is at another generation than the proposal names, or the rollout of its previous generation
// is not complete.
var errConflict = errors.New("conflict")

func newOperator(replicas []string) *operator {
	return &operator{replicas: replicas, client: &http.Client{Timeout: 10 * time.Second,
		Transport: &http.Transport{MaxIdleConnsPerHost: maxConcurrentPuts}}}
}

// proposal is the body of a PUT of a tenant.
type proposal struct {
	Generation uint64     `json:"generation"` // current generation of the tenant; 0: the tenant does not exist yet
	Spec       fleet.Spec `json:"spec"`
}

// propose puts the next generation of a tenant, following the leader. An attempt with an unknown outcome is repeated. A conflict after
// such an attempt counts as success, since the earlier attempt may have caused it.
func (o *operator) propose(ctx context.Context, generation uint64, spec fleet.Spec) error {
	body, err := json.Marshal(proposal{Generation: generation, Spec: spec})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	outcomeUnknown := false
	for {
		status, text, err := o.put(ctx, spec.Name, body)
		switch {
		case err == nil && status == http.StatusOK, err == nil && status == http.StatusConflict && outcomeUnknown:
			return nil
		case err == nil && status == http.StatusConflict:
			return fmt.Errorf("tenant %s: %w: %s", spec.Name, errConflict, text)
		case err == nil && status < http.StatusInternalServerError:
			return fmt.Errorf("tenant %s: %d: %s", spec.Name, status, text)
		}
		outcomeUnknown = outcomeUnknown || err != nil
		select {
		case <-ctx.Done():
			return fmt.Errorf("tenant %s: no leader answers: %w", spec.Name, errors.Join(context.Cause(ctx), err))
		case <-time.After(proposeRetryPause):
		}
	}
}

// put makes one attempt to put a tenant at the replica that is taken for the leader.
func (o *operator) put(ctx context.Context, name string, body []byte) (status int, text []byte, err error) {
	o.mu.Lock()
	current := o.leader
	o.mu.Unlock()
	address := "http://" + o.replicas[current] + "/fleet/v1/tenants/" + url.PathEscape(name)
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, address, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	resp, err := o.client.Do(req)
	if err != nil {
		o.switchLeader(current, "")
		return 0, nil, err
	}
	defer resp.Body.Close()
	text, err = io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if resp.StatusCode == http.StatusServiceUnavailable {
		o.switchLeader(current, resp.Header.Get("X-Leader"))
	}
	return resp.StatusCode, bytes.TrimSpace(text), err
}

// switchLeader replaces the replica that is taken for the leader, if it still is from: by the one that from names, or else by the
// next one.
func (o *operator) switchLeader(from int, leader string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.leader != from {
		return
	}
	if i := slices.Index(o.replicas, leader); i >= 0 {
		o.leader = i
		return
	}
	o.leader = (from + 1) % len(o.replicas)
}

// metrics fetches and parses a replica's metrics.
func (o *operator) metrics(replica string) (ReplicaMetrics, error) {
	resp, err := o.client.Get("http://" + replica + "/metrics")
	if err != nil {
		return ReplicaMetrics{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return ReplicaMetrics{}, fmt.Errorf("metrics: status %d", resp.StatusCode)
	}
	return parseMetrics(resp.Body)
}

// close closes the idle connections.
func (o *operator) close() { o.client.CloseIdleConnections() }
