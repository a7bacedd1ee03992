package drift

import (
	"meadowsill/internal/fleet"
)

// expect returns the zones, tenants and share that a node must have applied at atRevision. complete is false if some of
// the intent at that revision is unknown.
func (h *intentHistory) expect(atRevision uint64, m fleet.Member, services []string) (items []fleet.AppliedItem, complete bool) {
	complete = true
	for i := 0; i < len(h.zones); {
		zone := h.zones[i].zone
		var best *version
		for ; i < len(h.zones) && h.zones[i].zone == zone; i++ { // "zone/Y" is sorted first
			e := h.zones[i]
			if e.observer != "" && e.observer != m.Zone {
				continue
			}
			v := e.at(atRevision)
			if v == nil {
				complete = false
			} else if !v.removed && v.directive.Phase != fleet.Serving && (best == nil || fleet.OwnTakesPrecedence(*best.directive, *v.directive)) {
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
		if v := e.at(atRevision); v == nil {
			complete = false
		} else if !v.removed && !v.appliesNothing {
			items = append(items, v.applied)
		}
	}
	for _, e := range h.tenants {
		if !e.outsideScope(atRevision, services) {
			add(e)
		}
	}
	if e := h.leases[m.Node]; e != nil {
		add(e)
	}
	return items, complete
}

// directive returns the directive in force for a zone at a node at atRevision, and the directive's own revision. It
// returns nil if there is none or if it is unknown.
func (h *intentHistory) directive(zone string, atRevision uint64, m fleet.Member) (d *fleet.Directive, rev uint64) {
	for _, key := range []string{"zone/" + zone, "zone/" + zone + "@" + m.Zone} {
		e := h.entries[key]
		if e == nil {
			continue
		}
		v := e.at(atRevision)
		if v == nil {
			return nil, 0
		}
		if v.removed || v.directive.Phase == fleet.Serving {
			continue
		}
		if d == nil || fleet.OwnTakesPrecedence(*d, *v.directive) {
			d, rev = v.directive, v.revision
		}
	}
	return d, rev
}

// list returns the server items of a version of the list, or nil if some of them are unknown.
func (h *intentHistory) list(atRevision uint64) []fleet.AppliedItem {
	if l := h.listAt(atRevision); l != nil {
		return l.items
	}
	return nil
}

func (h *intentHistory) listAt(atRevision uint64) *appliedList {
	atRevision = min(atRevision, h.newestListRevision)
	if l := h.listTrees[atRevision]; l != nil {
		return l
	}
	l := &appliedList{}
	for _, e := range h.servers {
		switch v := e.at(atRevision); {
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
	h.listTrees[atRevision] = l
	return l
}

// outstanding returns the earliest revision above afterRevision of the items that a node must apply, when the detector first saw
// that revision, and the keys of all items with such revisions. list selects the server list instead of the intent.
func (h *intentHistory) outstanding(afterRevision uint64, m fleet.Member, services []string, list bool) (rev uint64, seen fleet.Time, keys []string) {
	consider := func(e *entry) {
		if e == nil || e.newest().revision <= afterRevision {
			return
		}
		keys = append(keys, e.key)
		for i := range e.versions {
			if v := &e.versions[i]; v.revision > afterRevision && (rev == 0 || v.revision < rev) {
				rev, seen = v.revision, v.seenAt
			}
		}
	}
	if list {
		if h.newestListRevision > afterRevision {
			for _, e := range h.servers {
				consider(e)
			}
		}
		return rev, seen, keys
	}
	if h.newestFleetRevision > afterRevision {
		for _, e := range h.zones {
			if e.observer == "" || e.observer == m.Zone {
				consider(e)
			}
		}
		for _, e := range h.tenants {
			if e.changedAfter(afterRevision, services) {
				consider(e)
			}
		}
	}
	consider(h.leases[m.Node])
	return rev, seen, keys
}
