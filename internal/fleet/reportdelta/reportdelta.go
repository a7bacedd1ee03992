// Package reportdelta sends a node's reports as deltas (docs/fleet.md, "Reports by difference"): an agent sends what
// changed since a report that the leader has acknowledged, and the leader restores the complete report from it. A delta that
// is lost, repeated, reordered, truncated or made against another base is an error and changes nothing; the complete report
// is sent after it. The package does no I/O and reads no clock.
package reportdelta

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"slices"

	"meadowsill/internal/fleet"
)

// Errors of a delta that can't be applied. Each changes nothing, and the leader answers it with a request for the complete report.
var (
	ErrUnknownBase    = errors.New("unknown base report")                           // the leader lacks it: new leader, lost report, other incarnation
	ErrRowMismatch    = errors.New("rows do not match the base")                    // rows are out of order, or a row is not in the base
	ErrDigestMismatch = errors.New("digest does not match")                         // the restored report would differ from the node's
	errDifferentRuns  = errors.New("reports of different incarnations or services") // Diff requires the same ones
)

// Delta is a report expressed as its changes since an earlier report of the same incarnation: POST /fleet/v1/report/difference.
// Lists are ordered by key, and each key occurs at most once.
type Delta struct {
	Head           fleet.Report         `json:"head"`     // the report without its services and its rows; the services are those of the base
	BaseSequence   uint64               `json:"base_seq"` // sequence number of the base, the report that the delta is made against
	Digest         string               `json:"digest"`   // Digest of the complete report
	Zones          []fleet.ZoneEvidence `json:"zones,omitempty"`
	ZonesRemoved   []string             `json:"zones_gone,omitempty"`
	Tenants        []fleet.TenantAck    `json:"tenants,omitempty"`
	TenantsRemoved []string             `json:"tenants_gone,omitempty"`
	Loads          []LoadChange         `json:"loads,omitempty"`
	Applied        []fleet.AppliedItem  `json:"held,omitempty"`
	AppliedRemoved []string             `json:"held_gone,omitempty"`
}

// LoadChange is a change of a tenant's row that affects nothing but its load and its quota share.
type LoadChange struct {
	Row      int     `json:"i"` // index of the row among the base's tenants, from 0
	Open     int     `json:"o,omitempty"`
	Offered  float64 `json:"f,omitempty"`
	Admitted float64 `json:"a,omitempty"`
	Rate     float64 `json:"r,omitempty"`
}

// Normalize sorts a report's rows by key and compacts the bodies of its items, as Diff and Apply require. It changes nothing
// else; the argument's rows stay as they are.
func Normalize(r fleet.Report) fleet.Report {
	r.Zones = sortedRows(r.Zones, zoneKey)
	r.Tenants = sortedRows(r.Tenants, tenantKey)
	r.Applied = slices.Clone(sortedRows(r.Applied, appliedKey))
	for i := range r.Applied {
		r.Applied[i].Body = compactBody(r.Applied[i].Body)
	}
	return r
}

func zoneKey(z *fleet.ZoneEvidence) string   { return z.Zone }
func tenantKey(t *fleet.TenantAck) string    { return t.Name }
func appliedKey(a *fleet.AppliedItem) string { return a.Key }

// sortedRows returns rows sorted by key; it returns the slice itself if it is already sorted.
func sortedRows[T any](rows []T, key func(*T) string) []T {
	order := func(a, b T) int { return cmp.Compare(key(&a), key(&b)) }
	if slices.IsSortedFunc(rows, order) {
		return rows
	}
	rows = slices.Clone(rows)
	slices.SortFunc(rows, order)
	return rows
}

// Diff returns the changes from base to next, two normalized reports of one incarnation.
func Diff(base, next fleet.Report) (Delta, error) {
	if base.Member != next.Member || !slices.Equal(base.Services, next.Services) {
		return Delta{}, errDifferentRuns
	}
	d := Delta{Head: next, BaseSequence: base.Sequence, Digest: Digest(next)}
	d.Head.Services = nil
	d.Head.Zones = nil
	d.Head.Tenants = nil
	d.Head.Applied = nil
	equal := func(a, b *fleet.ZoneEvidence, _ int) bool { return *a == *b }
	d.Zones, d.ZonesRemoved = changedRows(base.Zones, next.Zones, zoneKey, equal)
	d.Tenants, d.TenantsRemoved = changedRows(base.Tenants, next.Tenants, tenantKey, d.sameExceptLoad)
	d.Applied, d.AppliedRemoved = changedRows(base.Applied, next.Applied, appliedKey, sameItem)
	return d, nil
}

// sameExceptLoad compares two rows of a tenant; a is the base's row i. If only the load differs, it records a LoadChange and returns true.
func (d *Delta) sameExceptLoad(a, b *fleet.TenantAck, i int) bool {
	if *a == *b {
		return true
	}
	load := LoadChange{Row: i, Open: b.Open, Offered: b.Offered, Admitted: b.Admitted, Rate: b.Rate}
	if load.apply(*a) != *b {
		return false
	}
	d.Loads = append(d.Loads, load)
	return true
}

// apply returns the row with this load.
func (l LoadChange) apply(t fleet.TenantAck) fleet.TenantAck {
	t.Open = l.Open
	t.Offered = l.Offered
	t.Admitted = l.Admitted
	t.Rate = l.Rate
	return t
}

func sameItem(a, b *fleet.AppliedItem, _ int) bool {
	return a.Key == b.Key && a.Digest == b.Digest && a.ChangedBy == b.ChangedBy && a.SinceMS == b.SinceMS && bytes.Equal(a.Body, b.Body)
}

// changedRows returns the rows of next that base lacks or has with other content, and the keys that only base has.
func changedRows[T any](base, next []T, key func(*T) string, same func(a, b *T, i int) bool) (changed []T, removed []string) {
	i := 0
	for n := range next {
		for i < len(base) && key(&base[i]) < key(&next[n]) {
			removed = append(removed, key(&base[i]))
			i++
		}
		if i < len(base) && key(&base[i]) == key(&next[n]) {
			if !same(&base[i], &next[n], i) {
				changed = append(changed, next[n])
			}
			i++
			continue
		}
		changed = append(changed, next[n])
	}
	for ; i < len(base); i++ {
		removed = append(removed, key(&base[i]))
	}
	return changed, removed
}

// Apply restores the complete report. base is not changed.
func Apply(base fleet.Report, d Delta) (fleet.Report, error) {
	if base.Member != d.Head.Member || base.Sequence != d.BaseSequence || d.Head.Sequence <= base.Sequence {
		return fleet.Report{}, fmt.Errorf("%w: report %d of incarnation %d after %d", ErrUnknownBase, d.Head.Sequence, d.Head.Incarnation, d.BaseSequence)
	}
	r := d.Head
	r.Services = base.Services
	tenants, err := applyLoads(base.Tenants, d.Loads)
	if err != nil {
		return fleet.Report{}, err
	}
	var zonesErr, tenantsErr, appliedErr error
	r.Zones, zonesErr = mergeRows(base.Zones, zoneKey, d.Zones, d.ZonesRemoved)
	r.Tenants, tenantsErr = mergeRows(tenants, tenantKey, d.Tenants, d.TenantsRemoved)
	r.Applied, appliedErr = mergeRows(base.Applied, appliedKey, d.Applied, d.AppliedRemoved)
	if err := cmp.Or(zonesErr, tenantsErr, appliedErr); err != nil {
		return fleet.Report{}, err
	}
	if err := checkSize(&r); err != nil {
		return fleet.Report{}, err
	}
	if got := Digest(r); got != d.Digest {
		return fleet.Report{}, fmt.Errorf("%w: the restored report has %s, the delta says %.16s", ErrDigestMismatch, got, d.Digest)
	}
	return r, nil
}

// applyLoads returns the rows with the new loads.
func applyLoads(rows []fleet.TenantAck, loads []LoadChange) ([]fleet.TenantAck, error) {
	if len(loads) == 0 {
		return rows, nil
	}
	rows = slices.Clone(rows)
	last := -1
	for _, load := range loads {
		if load.Row <= last || load.Row >= len(rows) {
			return nil, fmt.Errorf("%w: loads: row %d", ErrRowMismatch, load.Row)
		}
		last = load.Row
		rows[load.Row] = load.apply(rows[load.Row])
	}
	return rows, nil
}

// mergeRows returns base with the rows in changed inserted or replaced, and without those in removed. All are ordered by key.
func mergeRows[T any](base []T, key func(*T) string, changed []T, removed []string) ([]T, error) {
	if len(changed) == 0 && len(removed) == 0 {
		return base, nil
	}
	out := make([]T, 0, max(len(base)+len(changed)-len(removed), 0))
	c, r := 0, 0
	for i := range base {
		k := key(&base[i])
		for c < len(changed) && key(&changed[c]) < k {
			out = append(out, changed[c])
			c++
		}
		switch {
		case r < len(removed) && removed[r] == k:
			r++
		case c < len(changed) && key(&changed[c]) == k:
			out = append(out, changed[c])
			c++
		default:
			out = append(out, base[i])
		}
	}
	out = append(out, changed[c:]...)
	for i := 1; i < len(out); i++ {
		if key(&out[i-1]) >= key(&out[i]) {
			return nil, fmt.Errorf("%w: row %.128q is out of order or occurs twice", ErrRowMismatch, key(&out[i]))
		}
	}
	if r < len(removed) {
		return nil, fmt.Errorf("%w: removed row %.128q is not in the base or out of order", ErrRowMismatch, removed[r])
	}
	return out, nil
}
