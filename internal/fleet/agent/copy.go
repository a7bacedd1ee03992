// Package agent is the fleet half of the agent next to a node (docs/fleet.md): it watches the intent from any replica,
// keeps a durable copy of it, serves its node on loopback with the age of what it serves, and carries the node's reports
// to the control plane's leader. It goes on serving when the replicas are gone. It decides nothing.
package agent

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"sort"

	"github.com/cespare/xxhash/v2"

	"starlingvalve/internal/fleet"
)

// goneKept is how many items that are gone are remembered: a node that watches from before them gets everything.
const goneKept = 1000

// Copy is what the agent was sent of the intent. It does no I/O and reads no clock.
type Copy struct {
	Revision uint64
	Floor    uint64                // changes up to here can no longer be listed: everything is sent instead
	Items    map[string]fleet.Item // by key; gone ones among them
}

// Errors of Take. They change nothing.
var errBehind = errors.New("behind what the agent has")

// Take brings in a replica's answer to a watch from c.Revision, and says whether anything is new. An answer of an older
// revision is refused: what is newer is never rolled back.
func (c *Copy) Take(in fleet.Intent) (bool, error) {
	switch {
	case in.Revision < c.Revision || in.Revision == c.Revision && !in.Full && len(in.Items) > 0:
		return false, fmt.Errorf("revision %d: %w, %d", in.Revision, errBehind, c.Revision)
	case in.Revision == c.Revision && !in.Full:
		return false, nil
	}
	if in.Full && in.Revision == c.Revision && c.same(in.Items) {
		return false, nil
	}
	if in.Full || c.Items == nil {
		c.Items = map[string]fleet.Item{}
	}
	if in.Full {
		c.Floor = in.Revision
	}
	for _, it := range in.Items {
		c.Items[it.Key] = it
	}
	c.Revision = in.Revision
	c.forget()
	return true, nil
}

// same says whether the copy holds these items and no others.
func (c *Copy) same(items []fleet.Item) bool {
	held := 0
	for _, it := range c.Items {
		if !it.Gone {
			held++
		}
	}
	for _, it := range items {
		if old, ok := c.Items[it.Key]; !ok || old.Gone || old.Rev != it.Rev || !bytes.Equal(old.Body, it.Body) {
			return false
		}
	}
	return held == len(items)
}

// forget drops the oldest gone items over goneKept.
func (c *Copy) forget() {
	var gone []fleet.Item
	for _, it := range c.Items {
		if it.Gone {
			gone = append(gone, it)
		}
	}
	sort.Slice(gone, func(i, j int) bool { return gone[i].Rev < gone[j].Rev })
	for _, it := range gone[:max(len(gone)-goneKept, 0)] {
		delete(c.Items, it.Key)
		c.Floor = max(c.Floor, it.Rev)
	}
}

// Read answers a node that holds everything up to since: the items changed after it, and those of again whatever their revision;
// or every item where since is 0, forgotten or newer than the copy, or again names "*".
func (c *Copy) Read(since uint64, again map[string]bool) fleet.Intent {
	out := fleet.Intent{Revision: c.Revision, Items: []fleet.Item{}}
	out.Full = since == 0 || since < c.Floor || since > c.Revision || again["*"]
	for _, it := range c.Items {
		if out.Full && !it.Gone || !out.Full && (it.Rev > since || again[it.Key]) {
			out.Items = append(out.Items, it)
		}
	}
	sort.Slice(out.Items, func(i, j int) bool { return out.Items[i].Key < out.Items[j].Key })
	return out
}

// stored is the copy's body on disk.
type stored struct {
	Node     string       `json:"node"`
	Revision uint64       `json:"revision"`
	Items    []fleet.Item `json:"items"`
}

const head = "fleet-intent 1 %d %016x\n" // revision, xxhash64 of the body

// Encode is the copy as it lies on disk: a line with its revision and the checksum of what follows, then the body.
func (c *Copy) Encode(node string) ([]byte, error) {
	all := c.Read(0, nil)
	body, err := json.Marshal(stored{node, c.Revision, all.Items})
	if err != nil {
		return nil, err
	}
	return append(fmt.Appendf(nil, head, c.Revision, xxhash.Sum64(body)), body...), nil
}

// Decode reads a copy back. One that is damaged, of another node or of another kind is an error; nothing of it is used.
func Decode(raw []byte, node string) (*Copy, error) {
	if len(raw) > fleet.IntentLimit {
		return nil, fmt.Errorf("copy: %d bytes, at most %d", len(raw), fleet.IntentLimit)
	}
	line, body, _ := bytes.Cut(raw, []byte("\n"))
	var rev, sum uint64
	if _, err := fmt.Sscanf(string(line)+"\n", head, &rev, &sum); err != nil {
		return nil, errors.New("copy: its first line is not a copy's")
	}
	if got := xxhash.Sum64(body); got != sum {
		return nil, fmt.Errorf("copy: checksum %016x, its body has %016x", sum, got)
	}
	var s stored
	if err := json.Unmarshal(body, &s); err != nil {
		return nil, fmt.Errorf("copy: %w", err)
	}
	if s.Node != node || s.Revision != rev {
		return nil, fmt.Errorf("copy: of node %q at revision %d, this is %q and the line says %d", s.Node, s.Revision, node, rev)
	}
	again, err := json.Marshal(fleet.Intent{Revision: s.Revision, Full: true, Items: s.Items})
	if err != nil {
		return nil, fmt.Errorf("copy: %w", err)
	}
	in, err := fleet.DecodeIntent(again)
	if err != nil {
		return nil, fmt.Errorf("copy: %w", err)
	}
	c := &Copy{}
	_, err = c.Take(in)
	return c, err
}

const copyName = "intent.copy"

// Load reads the copy in dir. None is an empty one; a damaged one is an error, and is put aside under another name for
// whoever looks for the cause.
func Load(dir, node string) (*Copy, error) {
	path := filepath.Join(dir, copyName)
	raw, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return &Copy{}, nil
	}
	if err != nil {
		return &Copy{}, err
	}
	c, err := Decode(raw, node)
	if err != nil {
		os.Rename(path, path+".refused")
		return &Copy{}, err
	}
	return c, nil
}

// Save puts a copy in dir whole or not at all. It is not put over a newer one, as an agent that was stopped and went on
// next to its successor would.
func Save(dir, node string, raw []byte, revision uint64) error {
	path := filepath.Join(dir, copyName)
	if old, err := os.ReadFile(path); err == nil {
		if c, err := Decode(old, node); err == nil && c.Revision > revision {
			return fmt.Errorf("copy: revision %d is on disk, %d is older", c.Revision, revision)
		}
	}
	f, err := os.CreateTemp(dir, copyName+".*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name())
	_, err = f.Write(raw)
	if err == nil {
		err = f.Sync()
	}
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	if err != nil {
		return err
	}
	if err := os.Rename(f.Name(), path); err != nil {
		return err
	}
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// Remove takes the copy in dir away.
func Remove(dir string) error {
	if err := os.Remove(filepath.Join(dir, copyName)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return nil
}
