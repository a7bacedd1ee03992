package drift

import (
	"slices"
	"strings"

	"meadowsill/internal/fleet"
)

// Prefixes of tree paths in WantedKeys and Applied: for the tree of zones, tenants and share, and for the tree of the
// server list. No item key begins with either of them.
const (
	fleetTree = "~"
	listTree  = "="
)

// maxItemsToList is the largest number of expected items under a path for which the detector requests all keys at once.
const maxItemsToList = 32

// Limits on the answers in one report. A listing beyond maxListed is replaced by hashes. Bodies beyond maxBodyBytes are left
// out, and the detector requests them again.
const (
	maxListed    = 2048
	maxBodyBytes = 128 << 10
	maxAnswers   = 64 << 10 // remembered answers for one tree; beyond that the exchange starts again
)

// isList reports whether an item belongs to the tree of the server list rather than the fleet tree. isLocal reports whether
// it is local to the node and belongs to neither tree.
func isList(key string) bool { return strings.HasPrefix(key, fleet.KeyServer) }
func isLocal(key string) bool {
	return key == fleet.KeySettings || strings.HasPrefix(key, fleet.KeyExclusion)
}

// splitByTree splits the applied items by tree.
func splitByTree(items []fleet.AppliedItem) (intended, list, local []fleet.AppliedItem) {
	for _, item := range items {
		switch {
		case isLocal(item.Key):
			local = append(local, item)
		case isList(item.Key):
			list = append(list, item)
		default:
			intended = append(intended, item)
		}
	}
	return intended, list, local
}

// FillReport sets a report's AppliedRoot, ListRoot and Applied. applied contains all items that the module has applied,
// with bodies; want lists the keys that the last answer requested. Unknown keys in want are ignored.
func FillReport(r *fleet.Report, applied []fleet.AppliedItem, want []string) {
	fleetItems, list, local := splitByTree(applied)
	trees := map[string]*Tree{fleetTree: NewTree(fleetItems), listTree: NewTree(list)}
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
	for _, w := range want { // bodies first, because a listing then skips the items that are already in the report
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
			add(fleet.AppliedItem{Key: w, Digest: hex(t.hashAt(path))})
			for _, f := range items {
				add(fleet.AppliedItem{Key: f.key, Digest: f.digest})
			}
		} else if len(path) < depth {
			add(fleet.AppliedItem{Key: w[:1] + path, Digest: hex(t.hashAt(path))})
			for _, c := range hexDigits {
				if child := path + string(c); t.hashAt(child) != 0 {
					add(fleet.AppliedItem{Key: w[:1] + child, Digest: hex(t.hashAt(child))})
				}
			}
		}
	}
}

// treeExchange is what the detector has learned about one tree of a node by requesting parts of it. It is valid while
// the node's root stays the same.
type treeExchange struct {
	root    string
	answers map[string]fleet.AppliedItem // by key: answers for tree paths and for items
}

// addAnswers adds the answers of one report.
func (x *treeExchange) addAnswers(root, prefix string, items []fleet.AppliedItem) {
	if x.root != root || x.answers == nil || len(x.answers) > maxAnswers {
		x.root, x.answers = root, map[string]fleet.AppliedItem{}
	}
	for _, item := range items {
		isPath := strings.HasPrefix(item.Key, prefix)
		if isTreeItem := !strings.HasPrefix(item.Key, fleetTree) && !strings.HasPrefix(item.Key, listTree) &&
			!isLocal(item.Key) && isList(item.Key) == (prefix == listTree); !isPath && !isTreeItem {
			continue
		}
		if old, ok := x.answers[item.Key]; ok && item.Body == nil {
			item.Body = old.Body
		}
		x.answers[item.Key] = item
	}
}

// maxBodies is how many bodies of one tree are requested. Further differing keys are only counted.
const maxBodies = 32

// differingKeys compares the answers so far with the expected tree. It returns the sorted keys that differ once all are
// known, and what to request next. If both are empty, the node's root contradicts what the node says about its items.
func (x *treeExchange) differingKeys(t *Tree, prefix string) (keys, wanted []string) {
	var items []fleet.AppliedItem
	for k, item := range x.answers {
		if !strings.HasPrefix(k, prefix) {
			items = append(items, item)
		}
	}
	reported := NewTree(items)
	var visit func(path string)
	visit = func(path string) {
		_, listed := x.answers[prefix+path+"*"]
		from, to, _ := leafRange(path)
		switch reportedHash := x.answers[prefix+path].Digest; {
		case listed || reportedHash == hex(0):
			for p := from; p < to; p++ {
				keys = append(keys, diffItems(t.items[p], reported.items[p])...)
			}
		case reportedHash != "" && x.hasChildren(prefix+path):
			for _, c := range hexDigits {
				child, hash := path+string(c), hex(0)
				if item, ok := x.answers[prefix+child]; ok {
					hash = item.Digest
				}
				if hash != hex(t.hashAt(child)) {
					visit(child)
				}
			}
		case len(path) == depth || len(t.list(path)) <= maxItemsToList:
			wanted = append(wanted, prefix+path+"*")
		default:
			wanted = append(wanted, prefix+path)
		}
	}
	visit("")
	slices.Sort(keys)
	if len(wanted) > 0 {
		return nil, wanted
	}
	for _, k := range keys[:min(len(keys), maxBodies)] {
		if item, known := x.answers[k]; known && item.Body == nil {
			wanted = append(wanted, k)
		}
	}
	return keys, wanted
}

// hasChildren reports whether hashes below a path have arrived.
func (x *treeExchange) hasChildren(path string) bool {
	for _, c := range hexDigits {
		if _, ok := x.answers[path+string(c)]; ok {
			return true
		}
	}
	return false
}
