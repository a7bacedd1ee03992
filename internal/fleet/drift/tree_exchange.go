package drift

import (
	"slices"
	"strings"

	"meadowsill/internal/fleet"
)

// The first letter of a place in a tree, as WantedKeys and Applied name it: the tree of zones, tenants and share; that of
// the list. No key of an item begins so.
const (
	fleetTree = "~"
	listTree  = "="
)

// maxItemsToList is how many items may be expected below a place for its keys to be requested at once.
const maxItemsToList = 32

// Limits on one report's answers. A listing beyond maxListed is answered by hashes, bodies beyond maxBodyBytes are
// left out and requested again.
const (
	maxListed    = 2048
	maxBodyBytes = 128 << 10
	maxAnswers   = 64 << 10 // answers kept of one tree; then all is requested anew
)

// isList says which tree an item is in; isLocal, that it is in neither.
func isList(key string) bool { return strings.HasPrefix(key, fleet.KeyServer) }
func isLocal(key string) bool {
	return key == fleet.KeySettings || strings.HasPrefix(key, fleet.KeyExclusion)
}

// splitByTree parts what a node holds by tree.
func splitByTree(items []fleet.AppliedItem) (intended, list, local []fleet.AppliedItem) {
	for _, h := range items {
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

// FillReport puts a report's AppliedRoot, ListRoot and Applied in place: held is all that the module holds now, with bodies; want is
// what the last answer requested. What it does not know in want gives nothing.
func FillReport(r *fleet.Report, applied []fleet.AppliedItem, want []string) {
	in, list, local := splitByTree(applied)
	trees := map[string]*Tree{fleetTree: NewTree(in), listTree: NewTree(list)}
	r.AppliedRoot = trees[fleetTree].Root()
	r.ListRoot = trees[listTree].Root()
	r.Applied = nil
	for _, h := range local {
		if !slices.Contains(want, h.Key) {
			h.Body = nil
		}
		r.Applied = append(r.Applied, h)
	}
	seen, bytes := map[string]bool{}, 0
	add := func(h fleet.AppliedItem) {
		if !seen[h.Key] {
			seen[h.Key] = true
			r.Applied = append(r.Applied, h)
		}
	}
	for _, w := range want { // bodies first: a listing's line on the same item adds nothing
		i := slices.IndexFunc(applied, func(h fleet.AppliedItem) bool { return h.Key == w })
		if i >= 0 && !isLocal(w) && bytes+len(applied[i].Body) <= maxBodyBytes {
			bytes += len(applied[i].Body)
			add(applied[i])
		}
	}
	listed := 0
	for _, w := range want {
		if w == "" || trees[w[:1]] == nil {
			continue
		}
		t := trees[w[:1]]
		path, all := strings.CutSuffix(w[1:], "*")
		if _, _, ok := leafRange(path); !ok {
			continue
		}
		items := t.list(path)
		if all && listed+len(items) <= maxListed {
			listed += len(items)
			add(fleet.AppliedItem{Key: w, Digest: hex(t.at(path))})
			for _, f := range items {
				add(fleet.AppliedItem{Key: f.key, Digest: f.digest})
			}
		} else if len(path) < depth {
			add(fleet.AppliedItem{Key: w[:1] + path, Digest: hex(t.at(path))})
			for _, c := range digits {
				if child := path + string(c); t.at(child) != 0 {
					add(fleet.AppliedItem{Key: w[:1] + child, Digest: hex(t.at(child))})
				}
			}
		}
	}
}

// treeExchange is what the detector has learnt of one tree of a node by asking. It stands as long as the node's root does.
type treeExchange struct {
	root    string
	answers map[string]fleet.AppliedItem // answers by key: places and items
}

// takeAnswers takes the answers of one report.
func (x *treeExchange) takeAnswers(root, letter string, items []fleet.AppliedItem) {
	if x.root != root || x.answers == nil || len(x.answers) > maxAnswers {
		x.root, x.answers = root, map[string]fleet.AppliedItem{}
	}
	for _, h := range items {
		place := strings.HasPrefix(h.Key, letter)
		if isItem := !strings.HasPrefix(h.Key, fleetTree) && !strings.HasPrefix(h.Key, listTree) &&
			!isLocal(h.Key) && isList(h.Key) == (letter == listTree); !place && !isItem {
			continue
		}
		if old, ok := x.answers[h.Key]; ok && h.Body == nil {
			h.Body = old.Body
		}
		x.answers[h.Key] = h
	}
}

// maxBodies is how many bodies of one tree are requested; of other keys that differ only that is said.
const maxBodies = 32

// differingKeys compares what has been learnt with the expected tree: the keys that differ, in order, once all are known;
// and what to request next. With neither, the root and what the node says of its items do not agree.
func (x *treeExchange) differingKeys(t *Tree, letter string) (keys, wanted []string) {
	var items []fleet.AppliedItem
	for k, h := range x.answers {
		if !strings.HasPrefix(k, letter) {
			items = append(items, h)
		}
	}
	have := NewTree(items)
	var visit func(path string)
	visit = func(path string) {
		_, listed := x.answers[letter+path+"*"]
		from, to, _ := leafRange(path)
		switch own := x.answers[letter+path].Digest; {
		case listed || own == hex(0):
			for p := from; p < to; p++ {
				keys = append(keys, differing(t.items[p], have.items[p])...)
			}
		case own != "" && x.hasChildren(letter+path):
			for _, c := range digits {
				child, hash := path+string(c), hex(0)
				if h, ok := x.answers[letter+child]; ok {
					hash = h.Digest
				}
				if hash != hex(t.at(child)) {
					visit(child)
				}
			}
		case len(path) == depth || len(t.list(path)) <= maxItemsToList:
			wanted = append(wanted, letter+path+"*")
		default:
			wanted = append(wanted, letter+path)
		}
	}
	visit("")
	slices.Sort(keys)
	if len(wanted) > 0 {
		return nil, wanted
	}
	for _, k := range keys[:min(len(keys), maxBodies)] {
		if h, known := x.answers[k]; known && h.Body == nil {
			wanted = append(wanted, k)
		}
	}
	return keys, wanted
}

// hasChildren reports that hashes below a place have come.
func (x *treeExchange) hasChildren(place string) bool {
	for _, c := range digits {
		if _, ok := x.answers[place+string(c)]; ok {
			return true
		}
	}
	return false
}
