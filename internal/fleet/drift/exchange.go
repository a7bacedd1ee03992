package drift

import (
	"slices"
	"strings"

	"meadowsill/internal/fleet"
)

// The first letter of a place in a tree, as Want and Held name it: the tree of zones, tenants and share; that of
// the list. No key of a fact begins so.
const (
	inFleet = "~"
	inList  = "="
)

// listAt is how many facts may be expected below a place for its keys to be asked for at once.
const listAt = 32

// Limits on one report's answers. A listing beyond listMost is answered by hashes, bodies beyond bodyMost bytes are
// left out and asked for again.
const (
	listMost = 2048
	bodyMost = 128 << 10
	gotMost  = 64 << 10 // answers kept of one tree; then all is asked anew
)

// isList says which tree a fact is in; isLocal, that it is in neither.
func isList(key string) bool { return strings.HasPrefix(key, fleet.KeyServer) }
func isLocal(key string) bool {
	return key == fleet.KeySettings || strings.HasPrefix(key, fleet.KeyBan)
}

// split parts what a node holds by tree.
func split(held []fleet.Held) (intended, list, local []fleet.Held) {
	for _, h := range held {
		switch {
		case isLocal(h.Key):
			local = append(local, h)
		case isList(h.Key):
			list = append(list, h)
		default:
			intended = append(intended, h)
		}
	}
	return intended, list, local
}

// Fill puts a report's Root, ListRoot and Held in place: held is all that the module holds now, with bodies; want is
// what the last answer asked for. What it does not know in want gives nothing.
func Fill(r *fleet.Report, held []fleet.Held, want []string) {
	in, list, local := split(held)
	trees := map[string]*Tree{inFleet: NewTree(in), inList: NewTree(list)}
	r.Root, r.ListRoot, r.Held = trees[inFleet].Root(), trees[inList].Root(), nil
	for _, h := range local {
		if !slices.Contains(want, h.Key) {
			h.Body = nil
		}
		r.Held = append(r.Held, h)
	}
	seen, bytes := map[string]bool{}, 0
	add := func(h fleet.Held) {
		if !seen[h.Key] {
			seen[h.Key] = true
			r.Held = append(r.Held, h)
		}
	}
	for _, w := range want { // bodies first: a listing's line on the same fact adds nothing
		i := slices.IndexFunc(held, func(h fleet.Held) bool { return h.Key == w })
		if i >= 0 && !isLocal(w) && bytes+len(held[i].Body) <= bodyMost {
			bytes += len(held[i].Body)
			add(held[i])
		}
	}
	listed := 0
	for _, w := range want {
		if w == "" || trees[w[:1]] == nil {
			continue
		}
		t := trees[w[:1]]
		path, all := strings.CutSuffix(w[1:], "*")
		if _, _, ok := below(path); !ok {
			continue
		}
		facts := t.list(path)
		if all && listed+len(facts) <= listMost {
			listed += len(facts)
			add(fleet.Held{Key: w, Digest: hex(t.at(path))})
			for _, f := range facts {
				add(fleet.Held{Key: f.key, Digest: f.digest})
			}
		} else if len(path) < depth {
			add(fleet.Held{Key: w[:1] + path, Digest: hex(t.at(path))})
			for _, c := range digits {
				if child := path + string(c); t.at(child) != 0 {
					add(fleet.Held{Key: w[:1] + child, Digest: hex(t.at(child))})
				}
			}
		}
	}
}

// exchange is what the judge has learnt of one tree of a node by asking. It stands as long as the node's root does.
type exchange struct {
	root string
	got  map[string]fleet.Held // answers by key: places and facts
}

// hear takes the answers of one report.
func (x *exchange) hear(root, letter string, held []fleet.Held) {
	if x.root != root || x.got == nil || len(x.got) > gotMost {
		x.root, x.got = root, map[string]fleet.Held{}
	}
	for _, h := range held {
		place := strings.HasPrefix(h.Key, letter)
		if fact := !strings.HasPrefix(h.Key, inFleet) && !strings.HasPrefix(h.Key, inList) &&
			!isLocal(h.Key) && isList(h.Key) == (letter == inList); !place && !fact {
			continue
		}
		if old, ok := x.got[h.Key]; ok && h.Body == nil {
			h.Body = old.Body
		}
		x.got[h.Key] = h
	}
}

// bodiesAt is how many bodies of one tree are asked for; of other keys that differ only that is said.
const bodiesAt = 32

// name compares what has been learnt with the expected tree: the keys that differ, in order, once all are known;
// and what to ask for next. With neither, the root and what the node says of its facts do not agree.
func (x *exchange) name(t *Tree, letter string) (keys, ask []string) {
	var facts []fleet.Held
	for k, h := range x.got {
		if !strings.HasPrefix(k, letter) {
			facts = append(facts, h)
		}
	}
	have := NewTree(facts)
	var visit func(path string)
	visit = func(path string) {
		_, listed := x.got[letter+path+"*"]
		from, to, _ := below(path)
		switch own := x.got[letter+path].Digest; {
		case listed || own == hex(0):
			for p := from; p < to; p++ {
				keys = append(keys, differing(t.facts[p], have.facts[p])...)
			}
		case own != "" && x.children(letter+path):
			for _, c := range digits {
				child, hash := path+string(c), hex(0)
				if h, ok := x.got[letter+child]; ok {
					hash = h.Digest
				}
				if hash != hex(t.at(child)) {
					visit(child)
				}
			}
		case len(path) == depth || len(t.list(path)) <= listAt:
			ask = append(ask, letter+path+"*")
		default:
			ask = append(ask, letter+path)
		}
	}
	visit("")
	slices.Sort(keys)
	if len(ask) > 0 {
		return nil, ask
	}
	for _, k := range keys[:min(len(keys), bodiesAt)] {
		if h, held := x.got[k]; held && h.Body == nil {
			ask = append(ask, k)
		}
	}
	return keys, ask
}

// children says that hashes below a place have come.
func (x *exchange) children(place string) bool {
	for _, c := range digits {
		if _, ok := x.got[place+string(c)]; ok {
			return true
		}
	}
	return false
}
