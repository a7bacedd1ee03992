// Package reportdelta sends a node's reports as differences (docs/fleet.md, "Reports by difference"): an agent sends what
// changed since a report that the leader has acknowledged, and the leader makes the whole report again. A difference that
// was lost, repeated, reordered, cut short or made against something else is an error and changes nothing; the
// whole report follows. The package does no I/O and reads no clock.
package reportdelta

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"slices"

	"meadowsill/internal/fleet"
)

// Errors of a difference that can't be applied. Each changes nothing; the answer to it is a wish for the whole report.
var (
	ErrBase   = errors.New("no such base")                    // the base is not held: a new leader, a gap, another run
	ErrRows   = errors.New("rows do not fit the base")        // out of order, or of a row that is not there
	ErrDigest = errors.New("digest does not fit")             // the whole report would be another than the node's
	errRun    = errors.New("reports of two runs or services") // Diff has no difference between them
)

// Difference is a report as what changed since an earlier one of the same run: POST /fleet/v1/report/difference. Lists
// are in the order of their keys, each key at most once.
type Difference struct {
	Head        fleet.Report         `json:"head"`     // the report without its services and its rows; its services are the base's
	BaseSeq     uint64               `json:"base_seq"` // seq of the report that this follows
	Digest      string               `json:"digest"`   // Digest of the whole report
	Zones       []fleet.ZoneEvidence `json:"zones,omitempty"`
	ZonesGone   []string             `json:"zones_gone,omitempty"`
	Tenants     []fleet.TenantAck    `json:"tenants,omitempty"`
	TenantsGone []string             `json:"tenants_gone,omitempty"`
	Loads       []Load               `json:"loads,omitempty"`
	Held        []fleet.AppliedItem  `json:"held,omitempty"`
	HeldGone    []string             `json:"held_gone,omitempty"`
}

// Load is a tenant's row of which nothing but the load and the share changed.
type Load struct {
	Row      int     `json:"i"` // of the base's tenants, from 0
	Open     int     `json:"o,omitempty"`
	Offered  float64 `json:"f,omitempty"`
	Admitted float64 `json:"a,omitempty"`
	Rate     float64 `json:"r,omitempty"`
}

// Normalize puts a report's rows in the order of their keys and the bodies of its facts in compact form, as Diff and Apply
// need them. It changes nothing else; the rows of the argument stay as they are.
func Normalize(r fleet.Report) fleet.Report {
	r.Zones = sorted(r.Zones, zoneKey)
	r.Tenants = sorted(r.Tenants, tenantKey)
	r.Applied = slices.Clone(sorted(r.Applied, heldKey))
	for i := range r.Applied {
		r.Applied[i].Body = compact(r.Applied[i].Body)
	}
	return r
}

func zoneKey(z *fleet.ZoneEvidence) string { return z.Zone }
func tenantKey(t *fleet.TenantAck) string  { return t.Name }
func heldKey(h *fleet.AppliedItem) string  { return h.Key }

// sorted gives rows by key: the slice itself where it is in order.
func sorted[T any](rows []T, key func(*T) string) []T {
	order := func(a, b T) int { return cmp.Compare(key(&a), key(&b)) }
	if slices.IsSortedFunc(rows, order) {
		return rows
	}
	rows = slices.Clone(rows)
	slices.SortFunc(rows, order)
	return rows
}

// Diff gives what changed from base to next, two normalized reports of one run.
func Diff(base, next fleet.Report) (Difference, error) {
	if base.Member != next.Member || !slices.Equal(base.Services, next.Services) {
		return Difference{}, errRun
	}
	d := Difference{Head: next, BaseSeq: base.Sequence, Digest: Digest(next)}
	d.Head.Services, d.Head.Zones, d.Head.Tenants, d.Head.Applied = nil, nil, nil, nil
	equal := func(a, b *fleet.ZoneEvidence, _ int) bool { return *a == *b }
	d.Zones, d.ZonesGone = changes(base.Zones, next.Zones, zoneKey, equal)
	d.Tenants, d.TenantsGone = changes(base.Tenants, next.Tenants, tenantKey, d.sameButLoad)
	d.Held, d.HeldGone = changes(base.Applied, next.Applied, heldKey, sameFact)
	return d, nil
}

// sameButLoad compares two rows of a tenant, the first of them the base's row i. Where only the load differs it is noted.
func (d *Difference) sameButLoad(a, b *fleet.TenantAck, i int) bool {
	if *a == *b {
		return true
	}
	load := Load{Row: i, Open: b.Open, Offered: b.Offered, Admitted: b.Admitted, Rate: b.Rate}
	if load.apply(*a) != *b {
		return false
	}
	d.Loads = append(d.Loads, load)
	return true
}

// apply gives the row with this load.
func (l Load) apply(t fleet.TenantAck) fleet.TenantAck {
	t.Open, t.Offered, t.Admitted, t.Rate = l.Open, l.Offered, l.Admitted, l.Rate
	return t
}

func sameFact(a, b *fleet.AppliedItem, _ int) bool {
	return a.Key == b.Key && a.Digest == b.Digest && a.ChangedBy == b.ChangedBy && a.SinceMS == b.SinceMS && bytes.Equal(a.Body, b.Body)
}

// changes gives the rows of next that base has not, or not the same, and the keys that base alone has.
func changes[T any](base, next []T, key func(*T) string, same func(a, b *T, i int) bool) (changed []T, gone []string) {
	i := 0
	for n := range next {
		for i < len(base) && key(&base[i]) < key(&next[n]) {
			gone = append(gone, key(&base[i]))
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
		gone = append(gone, key(&base[i]))
	}
	return changed, gone
}

// Apply makes the whole report again. base is not changed.
func Apply(base fleet.Report, d Difference) (fleet.Report, error) {
	if base.Member != d.Head.Member || base.Sequence != d.BaseSeq || d.Head.Sequence <= base.Sequence {
		return fleet.Report{}, fmt.Errorf("%w: report %d of incarnation %d after %d", ErrBase, d.Head.Sequence, d.Head.Incarnation, d.BaseSeq)
	}
	r := d.Head
	r.Services = base.Services
	tenants, err := applyLoads(base.Tenants, d.Loads)
	if err != nil {
		return fleet.Report{}, err
	}
	var zonesErr, tenantsErr, heldErr error
	r.Zones, zonesErr = merge(base.Zones, zoneKey, d.Zones, d.ZonesGone)
	r.Tenants, tenantsErr = merge(tenants, tenantKey, d.Tenants, d.TenantsGone)
	r.Applied, heldErr = merge(base.Applied, heldKey, d.Held, d.HeldGone)
	if err := cmp.Or(zonesErr, tenantsErr, heldErr); err != nil {
		return fleet.Report{}, err
	}
	if err := checkSize(&r); err != nil {
		return fleet.Report{}, err
	}
	if got := Digest(r); got != d.Digest {
		return fleet.Report{}, fmt.Errorf("%w: %s, the difference says %.16s", ErrDigest, got, d.Digest)
	}
	return r, nil
}

// applyLoads gives the rows with new loads.
func applyLoads(rows []fleet.TenantAck, loads []Load) ([]fleet.TenantAck, error) {
	if len(loads) == 0 {
		return rows, nil
	}
	rows = slices.Clone(rows)
	last := -1
	for _, load := range loads {
		if load.Row <= last || load.Row >= len(rows) {
			return nil, fmt.Errorf("%w: loads: row %d", ErrRows, load.Row)
		}
		last = load.Row
		rows[load.Row] = load.apply(rows[load.Row])
	}
	return rows, nil
}

// merge gives base with the rows changed or new in changed, without those gone. All are in the order of their keys.
func merge[T any](base []T, key func(*T) string, changed []T, gone []string) ([]T, error) {
	if len(changed) == 0 && len(gone) == 0 {
		return base, nil
	}
	out := make([]T, 0, max(len(base)+len(changed)-len(gone), 0))
	c, g := 0, 0
	for i := range base {
		k := key(&base[i])
		for c < len(changed) && key(&changed[c]) < k {
			out = append(out, changed[c])
			c++
		}
		switch {
		case g < len(gone) && gone[g] == k:
			g++
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
			return nil, fmt.Errorf("%w: %.128q out of order or twice", ErrRows, key(&out[i]))
		}
	}
	if g < len(gone) {
		return nil, fmt.Errorf("%w: %.128q gone, not in the base or out of order", ErrRows, gone[g])
	}
	return out, nil
}
