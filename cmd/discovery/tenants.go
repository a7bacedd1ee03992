package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/spf13/cobra"

	"meadowsill/internal/fleet"
	"meadowsill/internal/fleet/tenants"
	"meadowsill/internal/registry/replica"
)

// tenantsCmd returns the command discovery tenants, the operators' client of the tenants' API (docs/fleet.md), with the
// subcommands apply, status and delete.
func tenantsCmd() *cobra.Command {
	var replicas []string
	var timeout time.Duration
	root := &cobra.Command{Use: "tenants", Short: "Put a tenant on every node, see how far it is, take it away"}
	root.PersistentFlags().StringArrayVar(&replicas, "replica", nil, "a replica's HTTP address; once for each")
	root.PersistentFlags().DurationVar(&timeout, "timeout", 10*time.Second, "the longest that a leader is looked for")
	add := func(use, short string, run func(context.Context, *tenantClient, io.Writer, string) error) {
		root.AddCommand(&cobra.Command{Use: use, Short: short, Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
			if len(replicas) == 0 {
				return fmt.Errorf("--replica is needed, once for each replica's HTTP address")
			}
			c := &tenantClient{replicas: replicas, timeout: timeout, http: &http.Client{Timeout: 5 * time.Second}}
			return run(cmd.Context(), c, cmd.OutOrStdout(), args[0])
		}})
	}
	add("apply FILE", "Propose the tenant of a TOML file over its present generation", applyTenant)
	add("status NAME", "Show how far each present node is", tenantStatus)
	add("delete NAME", "Begin the removal of a tenant", deleteTenant)
	return root
}

// tenantClient calls the tenants' API. It tries the replicas in turn, or the leader that a replica names, until one answers with
// a status below 500.
type tenantClient struct {
	replicas []string
	timeout  time.Duration
	http     *http.Client
	next     int
	leader   string // its address from the last X-Leader header; "" if unknown
}

// answer is the final answer to a call. If outcomeUnknown is true, an earlier attempt may have been carried out.
type answer struct {
	status         int
	body           []byte
	outcomeUnknown bool
}

// call sends one request, follows X-Leader, and retries with backoff until a replica answers with a status below 500 or c.timeout
// has passed.
func (c *tenantClient) call(ctx context.Context, method, path string, body []byte) (answer, error) {
	outcomeUnknown := false
	attempt := func() (answer, error) {
		addr := c.leader
		if addr == "" {
			addr = c.replicas[c.next%len(c.replicas)]
		}
		req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
		if err != nil {
			return answer{}, backoff.Permanent(err)
		}
		resp, err := c.http.Do(req)
		if err != nil {
			outcomeUnknown = true
			c.leader, c.next = "", c.next+1
			return answer{}, err
		}
		defer resp.Body.Close()
		raw, err := io.ReadAll(io.LimitReader(resp.Body, fleet.MaxIntentBytes))
		if err == nil && resp.StatusCode < 500 {
			return answer{status: resp.StatusCode, body: raw, outcomeUnknown: outcomeUnknown}, nil
		}
		if err == nil {
			err = fmt.Errorf("%s answers %d: %.200s", addr, resp.StatusCode, bytes.TrimSpace(raw))
		}
		outcomeUnknown = outcomeUnknown || !bytes.HasPrefix(raw, []byte(replica.NotLeader))
		if c.leader = resp.Header.Get("X-Leader"); c.leader == "" {
			c.next++
		}
		return answer{}, err
	}
	retryBackoff := &backoff.ExponentialBackOff{InitialInterval: 50 * time.Millisecond, RandomizationFactor: 0.5, Multiplier: 1.5, MaxInterval: time.Second}
	a, err := backoff.Retry(ctx, attempt, backoff.WithBackOff(retryBackoff), backoff.WithMaxElapsedTime(c.timeout))
	if err != nil {
		return answer{}, fmt.Errorf("no replica answers for the leader: %w", err)
	}
	return a, nil
}

// rejection returns an error with the status and the reason from the API's answer.
func (a answer) rejection(subject string) error {
	return fmt.Errorf("%s: %d: %.400s", subject, a.status, bytes.TrimSpace(a.body))
}

func noTenant(name string) error { return fmt.Errorf("tenant %s: there is none", name) }

func tenantPath(name string) string { return "/fleet/v1/tenants/" + url.PathEscape(name) }

// currentTenant returns the tenant as it is intended now, and its committed generation; 0 if it has none.
func (c *tenantClient) currentTenant(ctx context.Context, name string) (t fleet.Tenant, generation uint64, err error) {
	a, err := c.call(ctx, http.MethodGet, tenantPath(name), nil)
	switch {
	case err != nil:
		return t, 0, err
	case a.status == http.StatusNotFound:
		return t, 0, nil
	case a.status != http.StatusOK:
		return t, 0, a.rejection("tenant " + name)
	}
	if err := json.Unmarshal(a.body, &t); err != nil {
		return t, 0, fmt.Errorf("tenant %s: %w", name, err)
	}
	if t.Committed != nil {
		generation = t.Committed.Number
	}
	return t, generation, nil
}

func applyTenant(ctx context.Context, c *tenantClient, out io.Writer, file string) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	spec, err := tenants.ParseTOML(raw)
	if err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	t, generation, err := c.currentTenant(ctx, spec.Name)
	if err != nil {
		return err
	}
	digest := tenants.Digest(spec)
	if t.Committed != nil && t.Staged == nil && !t.Removing && t.Committed.Digest == digest {
		fmt.Fprintf(out, "%s is at generation %d already, digest %s\n", spec.Name, generation, digest)
		return nil
	}
	body, err := json.Marshal(map[string]any{"generation": generation, "spec": spec})
	if err != nil {
		return err
	}
	a, err := c.call(ctx, http.MethodPut, tenantPath(spec.Name), body)
	if err != nil {
		return fmt.Errorf("%w; whether generation %d was proposed is not known: see status", err, generation+1)
	}
	if a.status == http.StatusConflict && a.outcomeUnknown { // the conflict may be with an earlier attempt of this call
		latest, _, err := c.currentTenant(ctx, spec.Name)
		for _, g := range []*fleet.Generation{latest.Staged, latest.Committed} {
			if err == nil && g != nil && g.Number == generation+1 && g.Digest == digest {
				a.status = http.StatusOK
			}
		}
	}
	if a.status != http.StatusOK {
		return a.rejection("tenant " + spec.Name)
	}
	fmt.Fprintf(out, "%s: generation %d proposed, digest %s\n", spec.Name, generation+1, digest)
	return nil
}

func deleteTenant(ctx context.Context, c *tenantClient, out io.Writer, name string) error {
	t, generation, err := c.currentTenant(ctx, name)
	switch {
	case err != nil:
		return err
	case t.UID == 0:
		return noTenant(name)
	}
	a, err := c.call(ctx, http.MethodDelete, fmt.Sprintf("%s?generation=%d", tenantPath(name), generation), nil)
	if err != nil {
		return fmt.Errorf("%w; whether its removal began is not known: see status", err)
	}
	if a.status != http.StatusOK && a.outcomeUnknown { // an earlier attempt may have begun the removal, which may also be complete by now
		if latest, _, err := c.currentTenant(ctx, name); err == nil && (latest.UID != t.UID || latest.Removing) {
			a.status = http.StatusOK
		}
	}
	switch a.status {
	case http.StatusOK:
	case http.StatusNotFound: // the follower that currentTenant read from is behind the leader
		return noTenant(name)
	default:
		return a.rejection("tenant " + name)
	}
	fmt.Fprintf(out, "%s: removal of generation %d begun\n", name, generation)
	return nil
}

func tenantStatus(ctx context.Context, c *tenantClient, out io.Writer, name string) error {
	a, err := c.call(ctx, http.MethodGet, tenantPath(name)+"/status", nil)
	if err != nil {
		return err
	}
	if a.status != http.StatusOK {
		return a.rejection("tenant " + name)
	}
	var st struct {
		Phase      string               `json:"phase"`
		RolledBack string               `json:"rolled_back"`
		Nodes      []tenants.NodeStatus `json:"nodes"`
	}
	if err := json.Unmarshal(a.body, &st); err != nil {
		return errors.Join(fmt.Errorf("tenant %s: the answer is no status", name), err)
	}
	fmt.Fprintf(out, "%s: %s\n", name, st.Phase)
	if st.RolledBack != "" {
		fmt.Fprintf(out, "rolled back: %s\n", st.RolledBack)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "node\tphase\tgeneration\tstaged\tage\treason")
	for _, n := range st.Nodes {
		age := "never"
		if n.AgeMS >= 0 {
			age = (time.Duration(n.AgeMS) * time.Millisecond).String()
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\t%s\n", n.Node, n.Phase, n.Generation, n.Staged, age, strings.TrimSpace(n.Reason))
	}
	return w.Flush()
}
