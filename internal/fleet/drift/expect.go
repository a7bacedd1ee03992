package drift

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"meadowsill/internal/fleet"
)

// Intended is all that the control plane intends at a revision. Items are every item there is, and the gone ones
// that the replica still knows of, each with its revision (without those, what is gone is judged a little later). Servers is the list under the same revisions, gone
// entries too; nil where the nodes' list is not the control plane's: then no list is compared.
type Intended struct {
	Revision uint64
	Items    []fleet.Item
	Servers  []Listed
	Late     map[string][]Difference // by present node: what it holds up, a rollout's step, past its bound
}

// Listed is an entry of the server list.
type Listed struct {
	ID   string
	Rev  uint64
	Gone bool
	Body fleet.HeldServer
}

// Expect gives what a node's module holds once it has taken all of in, in key order, with bodies; local facts are
// not among them. services are the node's scope; none: every tenant. An error is an item whose body can't be read: nothing
// can be said of that item.
func Expect(in Intended, m fleet.Member, services ...string) ([]fleet.Held, error) {
	var b book
	err := b.ingest(0, in)
	list := b.list(b.seen)
	held, _ := b.expect(in.Revision, m, services)
	held = append(held, list...)
	slices.SortFunc(held, func(a, b fleet.Held) int { return strings.Compare(a.Key, b.Key) })
	return held, err
}

// goneKept is for how many revisions an item that is gone and no longer listed is remembered.
const goneKept = 1000

// versionsKept is how many versions of an item are remembered, for nodes that are a little behind.
const versionsKept = 8

// version is an item as it was from a revision on.
type version struct {
	rev       uint64
	sure      uint64 // from rev to here it may have held already or not
	until     uint64 // it is known to have held up to this revision; what came then may not have been seen
	gone      bool
	unknown   bool       // nothing is known of it before the next version
	seen      fleet.Time // when the judge first saw it
	directive *fleet.Directive
	tenant    *fleet.Tenant
	shares    *fleet.Shares
	held      fleet.Held // of all but directives, which depend on the node
	empty     bool       // nothing is held for it
}

type entry struct {
	key            string
	zone, observer string // of zone items
	versions       []version
}

func (e *entry) last() *version { return &e.versions[len(e.versions)-1] }

// at gives the version that held at revision n; nil where that is not known.
func (e *entry) at(n uint64) *version {
	for i := len(e.versions) - 1; i >= 0; i-- {
		if v := &e.versions[i]; v.rev <= n {
			if v.unknown || n < v.sure || i < len(e.versions)-1 && n > v.until {
				return nil
			}
			return v
		}
	}
	return nil
}

// book is the judge's memory of what was intended of late.
type book struct {
	rev     uint64 // of the intent
	seen    uint64 // newest revision taken in, the list's or the intent's
	gen     uint64 // counts changes
	known   bool   // something has been taken in
	entries map[string]*entry
	zones   []*entry // by key
	tenants []*entry
	shares  map[string]*entry // by node
	servers []*entry
	noList  bool
	top     uint64 // newest revision of a zone or a tenant
	listTop uint64 // of a server

	listTrees map[uint64]*listed // by effective version of the list
}

type listed struct {
	held []fleet.Held
	tree *Tree
}

// ingest takes in what is intended now. Items of a revision already known are left; one that can't be read counts
// as unknown, and the first such is the error.
func (b *book) ingest(now fleet.Time, in Intended) error {
	newest := in.Revision // a change of the list alone leaves the intent's revision as it is
	for i := range in.Servers {
		newest = max(newest, in.Servers[i].Rev)
	}
	if b.known && newest == b.seen && in.Revision == b.rev {
		return nil
	}
	if b.entries == nil {
		b.entries, b.shares, b.listTrees = map[string]*entry{}, map[string]*entry{}, map[uint64]*listed{}
	}
	b.gen++
	b.noList = in.Servers == nil
	var failed error
	seen := make(map[string]bool, len(in.Items)+len(in.Servers))
	for i := range in.Items {
		it := &in.Items[i]
		seen[it.Key] = true
		if e := b.entries[it.Key]; e != nil && e.last().rev >= it.Rev {
			continue
		}
		v, err := read(it)
		if err != nil && failed == nil {
			failed = err
		}
		v.seen = now
		b.add(it.Key, v)
	}
	for i := range in.Servers {
		s := &in.Servers[i]
		key := fleet.KeyServer + s.ID
		seen[key] = true
		if e := b.entries[key]; e != nil && e.last().rev >= s.Rev {
			continue
		}
		v := version{rev: s.Rev, gone: s.Gone, seen: now}
		if !s.Gone {
			h, _, err := Hold(key, s.Body)
			if v.held = h; err != nil {
				v.unknown = true
			}
		}
		b.add(key, v)
	}
	for key, e := range b.entries {
		switch {
		case seen[key] || b.noList && isList(key):
		case !e.last().gone: // without notice: at some revision since the last
			b.add(key, version{rev: b.seen + 1, sure: newest, gone: true, seen: now})
		case e.last().rev+goneKept < newest:
			b.remove(e)
		}
	}
	b.rev, b.seen, b.known = in.Revision, newest, true
	return failed
}

// above says which of a report's two versions is newer than all that the judge has taken in, as the judge looks now and then
// and nodes hear from any replica: "revision", "list" or "" for neither.
func (b *book) above(r *fleet.Report) string {
	switch {
	case r.Revision > b.rev:
		return "revision"
	case !b.noList && r.List > b.seen:
		return "list"
	}
	return ""
}

// add puts a version on record. What an item was before the judge first heard of anything is unknown; one that
// appears later was not there.
func (b *book) add(key string, v version) {
	e := b.entries[key]
	if e == nil {
		e = &entry{key: key, versions: []version{{unknown: !b.known, gone: true}}}
		b.entries[key] = e
		kind, name, _ := strings.Cut(key, "/")
		switch kind {
		case "zone":
			e.zone, e.observer, _ = strings.Cut(name, "@")
			b.zones = insert(b.zones, e)
		case "tenant":
			b.tenants = insert(b.tenants, e)
		case "share":
			b.shares[name] = e
		case "server":
			b.servers = insert(b.servers, e)
		}
	}
	e.last().until = b.seen
	e.versions = append(e.versions, v)
	if over := len(e.versions) - versionsKept; over > 0 { // what was before the first kept is not known
		e.versions = slices.Delete(e.versions, 0, over)
	}
	switch {
	case isList(key):
		b.listTop = max(b.listTop, v.rev)
		clear(b.listTrees)
	case !strings.HasPrefix(key, "share/"):
		b.top = max(b.top, v.rev)
	}
}

func (b *book) remove(e *entry) {
	delete(b.entries, e.key)
	is := func(o *entry) bool { return o == e }
	b.zones, b.tenants, b.servers = slices.DeleteFunc(b.zones, is), slices.DeleteFunc(b.tenants, is), slices.DeleteFunc(b.servers, is)
	maps.DeleteFunc(b.shares, func(_ string, o *entry) bool { return o == e })
}

// insert keeps entries in the order of their zones and observers, then of their keys: a zone's are together.
func insert(in []*entry, e *entry) []*entry {
	i, _ := slices.BinarySearchFunc(in, e, func(a, b *entry) int {
		return cmp.Or(strings.Compare(a.zone, b.zone), strings.Compare(a.observer, b.observer), strings.Compare(a.key, b.key))
	})
	return slices.Insert(in, i, e)
}

// read takes an item's body. One of a kind that is not known here holds nothing at a node.
func read(it *fleet.Item) (version, error) {
	v := version{rev: it.Rev, gone: it.Gone}
	if it.Gone {
		return v, nil
	}
	if err := it.Check(); err != nil {
		v.unknown = true
		return v, err
	}
	var err error
	var held bool
	switch kind, _, _ := strings.Cut(it.Key, "/"); kind {
	case "zone":
		err = json.Unmarshal(it.Body, &v.directive)
	case "tenant":
		if err = json.Unmarshal(it.Body, &v.tenant); err == nil {
			v.held, held, err = Hold(it.Key, fleet.TenantBody(it.Rev, *v.tenant))
			v.empty = !held
		}
	case "share":
		if err = json.Unmarshal(it.Body, &v.shares); err == nil {
			v.held, held, err = Hold(fleet.KeyShare, fleet.ShareBody(*v.shares))
			v.empty = !held || v.shares.Rates == nil
		}
	default:
		v.empty = true
	}
	if err != nil {
		v.unknown = true
		return v, fmt.Errorf("%s: %w", it.Key, err)
	}
	return v, nil
}

// expect gives what a node holds of zones, tenants and its share at revision n; whole is false where some of it is
// not known for that revision.
func (b *book) expect(n uint64, m fleet.Member, services []string) (held []fleet.Held, whole bool) {
	whole = true
	for i := 0; i < len(b.zones); {
		zone := b.zones[i].zone
		var best *version
		for ; i < len(b.zones) && b.zones[i].zone == zone; i++ { // "zone/Y" first
			e := b.zones[i]
			if e.observer != "" && e.observer != m.Zone {
				continue
			}
			v := e.at(n)
			if v == nil {
				whole = false
			} else if !v.gone && v.directive.Phase != fleet.Serving && (best == nil || fleet.Narrower(*best.directive, *v.directive)) {
				best = v
			}
		}
		if best == nil {
			continue
		}
		h, ok, err := Hold(fleet.KeyZone+zone, fleet.ZoneBody(best.rev, *best.directive, m.Node))
		if err != nil {
			whole = false
		} else if ok {
			held = append(held, h)
		}
	}
	add := func(e *entry) {
		if v := e.at(n); v == nil {
			whole = false
		} else if !v.gone && !v.empty {
			held = append(held, v.held)
		}
	}
	for _, e := range b.tenants {
		if !e.outside(n, services) {
			add(e)
		}
	}
	if e := b.shares[m.Node]; e != nil {
		add(e)
	}
	return held, whole
}

// directive gives the directive that holds for a zone at a node at revision n, with its own revision; nil for none, or where it is not known.
func (b *book) directive(zone string, n uint64, m fleet.Member) (d *fleet.Directive, rev uint64) {
	for _, key := range []string{"zone/" + zone, "zone/" + zone + "@" + m.Zone} {
		e := b.entries[key]
		if e == nil {
			continue
		}
		v := e.at(n)
		if v == nil {
			return nil, 0
		}
		if v.gone || v.directive.Phase == fleet.Serving {
			continue
		}
		if d == nil || fleet.Narrower(*d, *v.directive) {
			d, rev = v.directive, v.rev
		}
	}
	return d, rev
}

// list gives the server facts at a version of the list; nil, where they are not all known.
func (b *book) list(n uint64) []fleet.Held {
	if l := b.listAt(n); l != nil {
		return l.held
	}
	return nil
}

func (b *book) listAt(n uint64) *listed {
	n = min(n, b.listTop)
	if l := b.listTrees[n]; l != nil {
		return l
	}
	l := &listed{}
	for _, e := range b.servers {
		switch v := e.at(n); {
		case v == nil:
			return nil
		case !v.gone:
			l.held = append(l.held, v.held)
		}
	}
	l.tree = NewTree(l.held)
	if len(b.listTrees) >= versionsKept {
		clear(b.listTrees)
	}
	b.listTrees[n] = l
	return l
}

// outstanding gives the earliest revision above n of what a node is to hold, with when it was first seen, and the
// keys of all such. list says which of the two.
func (b *book) outstanding(n uint64, m fleet.Member, services []string, list bool) (rev uint64, seen fleet.Time, keys []string) {
	look := func(e *entry) {
		if e == nil || e.last().rev <= n {
			return
		}
		keys = append(keys, e.key)
		for i := range e.versions {
			if v := &e.versions[i]; v.rev > n && (rev == 0 || v.rev < rev) {
				rev, seen = v.rev, v.seen
			}
		}
	}
	if list {
		if b.listTop > n {
			for _, e := range b.servers {
				look(e)
			}
		}
		return rev, seen, keys
	}
	if b.top > n {
		for _, e := range b.zones {
			if e.observer == "" || e.observer == m.Zone {
				look(e)
			}
		}
		for _, e := range b.tenants {
			if e.movedAfter(n, services) {
				look(e)
			}
		}
	}
	look(b.shares[m.Node])
	return rev, seen, keys
}
