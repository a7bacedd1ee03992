package node

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"unsafe"

	"meadowsill/internal/golden"
	"meadowsill/policy"
)

// allKeysConfig is a configuration with every key that a node reads.
var allKeysConfig = strings.Replace(completeConfig, `"limits":{}`, `"limits":{"cores":1,"memory_mb":192,"sockets":1024},
	"admin_addr":"127.0.0.1:84","peer_listen":"127.0.0.1:82","peers":["127.0.0.1:82"],"peers_all":"127.0.0.1:83",
	"known":{"version":4,"full":true,"servers":[{"id":"s-00000001","addr":"127.0.0.1:85","zone":"z","kind":"k","cell":1,
		"state":"ready","weight":1,"started_ms":5}]},
	"fleet":{"agent":"127.0.0.1:86","report_ms":250,"catch_up_ms":10000,"services":["billing"]}`, 1)

// mutations are the values that replace a value of a configuration. nil stands for leaving the value out.
var mutations = map[string]json.RawMessage{"missing": nil, "null": json.RawMessage("null"), "empty": json.RawMessage(`""`),
	"text": json.RawMessage(`"x"`), "negative": json.RawMessage("-1"), "zero": json.RawMessage("0"), "huge": json.RawMessage("1e300"),
	"list": json.RawMessage("[]"), "object": json.RawMessage("{}")}

// mutate calls each after every mutation of one value below tree. path is the path of tree.
func mutate(tree any, path string, set func(any), each func(where string)) {
	if path != "" {
		for _, name := range slices.Sorted(maps.Keys(mutations)) {
			if mutations[name] != nil {
				set(mutations[name])
				each(path + " " + name)
			}
		}
		set(tree)
	}
	switch tree := tree.(type) {
	case map[string]any:
		for _, key := range slices.Sorted(maps.Keys(tree)) {
			value := tree[key]
			childPath := strings.TrimPrefix(path+"."+key, ".")
			delete(tree, key)
			each(childPath + " missing")
			tree[key] = value
			mutate(value, childPath, func(v any) { tree[key] = v }, each)
		}
	case []any:
		for i, value := range tree {
			mutate(value, fmt.Sprintf("%s[%d]", path, i), func(v any) { tree[i] = v }, each)
		}
	}
}

// The errors that a node reports, at its start and at SIGHUP, for each configuration with one value that is missing, of another
// type or out of bounds, stay the same.
func TestErrorsOfBadConfigurations(t *testing.T) {
	t.Parallel()
	path := filepath.Join(t.TempDir(), "config.json")
	getenv := func(name string) string { return map[string]string{"GW_CONFIG": path}[name] }
	var tree any
	if err := json.Unmarshal([]byte(allKeysConfig), &tree); err != nil {
		t.Fatal(err)
	}
	var lines strings.Builder
	answer := func(_ *Config, err error) string {
		if err == nil {
			return "taken"
		}
		return strings.ReplaceAll(err.Error(), path, "FILE")
	}
	each := func(where string) {
		text, err := json.Marshal(tree)
		if err == nil {
			err = os.WriteFile(path, text, 0o600)
		}
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&lines, "%s | %s | %s\n", where, answer(LoadConfig(getenv)), answer(ReloadConfig(getenv)))
	}
	each("all keys")
	mutate(tree, "", nil, each)
	golden.Check(t, "configurations.txt", []byte(lines.String()))
}

// The names and contents of the files that processes of different builds share stay the same: the file of excluded app servers,
// and those in which two processes of a hot restart share their counts.
func TestSharedFiles(t *testing.T) {
	t.Parallel()
	golden.JSON[exclusionsFile](t, "bans")
	dir := t.TempDir()
	c := &Config{Name: "a/b", TempDir: dir, Settings: settings()}
	e := openExclusions(c, newUpstreams(c, 10, discardLog), discardLog)
	e.setServerNames(map[policy.ServerID]string{1: "s-00000001"})
	if err := e.exclude("s-00000001"); err != nil {
		t.Fatal(err)
	}
	h, err := openHotRestart(c, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	h.count(3, 5)
	var files []string
	entries, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, entry := range entries {
		content, err := os.ReadFile(filepath.Join(dir, entry.Name()))
		if err != nil {
			t.Fatal(err)
		}
		files = append(files, fmt.Sprintf("%s %q\n", entry.Name(), content))
	}
	golden.Check(t, "shared-files.txt", []byte(strings.Join(files, "")))
	if size := unsafe.Sizeof(connCounts{}); size != 16 {
		t.Errorf("the shared counts have %d bytes, want 16", size)
	}
}

// The answers of the admin API to each line stay the same.
func TestAdminAnswers(t *testing.T) {
	t.Parallel()
	n := start(t, &Config{Admin: anyPort, Settings: settings(), Known: readyServers("127.0.0.1:1")})
	n.waitReady(t, http.StatusOK)
	var lines strings.Builder
	for _, line := range []string{"readyz\n", "readyz\r\n", "readyz now\n", "restart\n", "READYZ\n", "\n", " \n", "read\x00yz\n", "caf\xe9\n",
		strings.Repeat("x", 4*maxAdminLine) + "\n", "exclude\n", "exclude a b\n", "exclude s-00000009\n", "include\n", "include s-00000009\n",
		"evacuate now\n", "evacuate\n", "readyz\n", "activate please\n", "activate\n", "readyz\n"} {
		fmt.Fprintf(&lines, "%.20q %q\n", line, n.call(t, line))
	}
	golden.Check(t, "admin.txt", []byte(lines.String()))
}
