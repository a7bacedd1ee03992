package drift

import (
	"meadowsill/internal/fleet"
)

// expect returns what a node holds of zones, tenants and its share at revision n; whole is false where some of it is
// not known for that revision.
func (h *intentHistory) expect(n uint64, m fleet.Member, services []string) (items []fleet.AppliedItem, complete bool) {
	complete = true
	for i := 0; i < len(h.zones); {
		zone := h.zones[i].zone
		var best *version
		for ; i < len(h.zones) && h.zones[i].zone == zone; i++ { // "zone/Y" first
			e := h.zones[i]
			if e.observer != "" && e.observer != m.Zone {
				continue
			}
			v := e.at(n)
			if v == nil {
				complete = false
			} else if !v.removed && v.directive.Phase != fleet.Serving && (best == nil || fleet.IsNarrower(*best.directive, *v.directive)) {
				best = v
			}
		}
		if best == nil {
			continue
		}
		h, ok, err := AppliedItemOf(fleet.KeyZone+zone, fleet.AppliedZoneOf(best.revision, *best.directive, m.Node))
		if err != nil {
			complete = false
		} else if ok {
			items = append(items, h)
		}
	}
	add := func(e *entry) {
		if v := e.at(n); v == nil {
			complete = false
		} else if !v.removed && !v.appliesNothing {
			items = append(items, v.applied)
		}
	}
	for _, e := range h.tenants {
		if !e.outside(n, services) {
			add(e)
		}
	}
	if e := h.leases[m.Node]; e != nil {
		add(e)
	}
	return items, complete
}

// directive returns the directive that holds for a zone at a node at revision n, with its own revision; nil for none, or where it is not known.
func (h *intentHistory) directive(zone string, n uint64, m fleet.Member) (d *fleet.Directive, rev uint64) {
	for _, key := range []string{"zone/" + zone, "zone/" + zone + "@" + m.Zone} {
		e := h.entries[key]
		if e == nil {
			continue
		}
		v := e.at(n)
		if v == nil {
			return nil, 0
		}
		if v.removed || v.directive.Phase == fleet.Serving {
			continue
		}
		if d == nil || fleet.IsNarrower(*d, *v.directive) {
			d, rev = v.directive, v.revision
		}
	}
	return d, rev
}

// list returns the server items at a version of the list; nil, where they are not all known.
func (h *intentHistory) list(n uint64) []fleet.AppliedItem {
	if l := h.listAt(n); l != nil {
		return l.items
	}
	return nil
}

func (h *intentHistory) listAt(n uint64) *appliedList {
	n = min(n, h.newestListRevision)
	if l := h.listTrees[n]; l != nil {
		return l
	}
	l := &appliedList{}
	for _, e := range h.servers {
		switch v := e.at(n); {
		case v == nil:
			return nil
		case !v.removed:
			l.items = append(l.items, v.applied)
		}
	}
	l.tree = NewTree(l.items)
	if len(h.listTrees) >= maxVersions {
		clear(h.listTrees)
	}
	h.listTrees[n] = l
	return l
}

// outstanding returns the earliest revision above n of what a node is to hold, with when it was first seen, and the
// keys of all such. list says which of the two.
func (h *intentHistory) outstanding(n uint64, m fleet.Member, services []string, list bool) (rev uint64, seen fleet.Time, keys []string) {
	look := func(e *entry) {
		if e == nil || e.newest().revision <= n {
			return
		}
		keys = append(keys, e.key)
		for i := range e.versions {
			if v := &e.versions[i]; v.revision > n && (rev == 0 || v.revision < rev) {
				rev, seen = v.revision, v.seenAt
			}
		}
	}
	if list {
		if h.newestListRevision > n {
			for _, e := range h.servers {
				look(e)
			}
		}
		return rev, seen, keys
	}
	if h.newestFleetRevision > n {
		for _, e := range h.zones {
			if e.observer == "" || e.observer == m.Zone {
				look(e)
			}
		}
		for _, e := range h.tenants {
			if e.movedAfter(n, services) {
				look(e)
			}
		}
	}
	look(h.leases[m.Node])
	return rev, seen, keys
}
