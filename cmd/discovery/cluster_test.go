package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"meadowsill/internal/lab/discoverylab"
	"meadowsill/internal/registry/linearizability"
)

type cluster struct {
	*discoverylab.Cluster
	t   *testing.T
	mu  sync.Mutex
	ops []linearizability.Operation // the history of writes and consistent reads, for the linearizability check
}

// bin is the discovery under test, built once; with DISCOVERY_RACE=1 in the environment with the race detector, which makes these tests
// several times as long.
var bin string

var raceOn = os.Getenv("DISCOVERY_RACE") != ""

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "discovery-test")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	args := []string{"build", "-o", dir + "/"}
	if raceOn { // the raft store's boltdb fails checkptr, which comes with it
		args = append(args, "-race", "-gcflags=all=-d=checkptr=0")
	}
	if out, err := exec.Command("go", append(args, "meadowsill/cmd/discovery")...).CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		os.Exit(1)
	}
	bin = filepath.Join(dir, "discovery")
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

func startCluster(t *testing.T, n int, extra ...string) *cluster {
	t.Helper()
	lc, err := discoverylab.Start(bin, t.TempDir(), n, extra...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		lc.Close()
		for _, d := range lc.Dirs {
			noRace(t, d+".log")
		}
	})
	return &cluster{Cluster: lc, t: t}
}

// noRace fails the test where a process's log names a data race.
func noRace(t *testing.T, file string) {
	raw, err := os.ReadFile(file)
	if err != nil || bytes.Contains(raw, []byte("DATA RACE")) {
		t.Errorf("%s: %v\n%s", file, err, raw)
	}
}

func (c *cluster) leader() int {
	i, err := c.Leader(30*time.Second, -1)
	if err != nil {
		c.t.Fatal(err)
	}
	return i
}

func (c *cluster) record(o linearizability.Operation) {
	c.mu.Lock()
	c.ops = append(c.ops, o)
	c.mu.Unlock()
}

// register tries each replica in turn, following X-Leader's replica, until one acknowledges or 30 s pass. Each
// try is recorded: acknowledged, or of unknown outcome unless the replica said at once that it does not lead.
func (c *cluster) register(id string, from int) bool {
	for end, i := time.Now().Add(30*time.Second), from; time.Now().Before(end); i = (i + 1) % len(c.HTTP) {
		op := linearizability.Operation{Client: 2, Write: true, ID: id, Call: time.Now().UnixNano()}
		code, msg := c.Register(i, id, 60000)
		op.Return, op.Unknown = time.Now().UnixNano(), code != http.StatusOK
		if !strings.Contains(msg, "not the leader") {
			c.record(op)
		}
		if code == http.StatusOK {
			return true
		}
		time.Sleep(20 * time.Millisecond)
	}
	return false
}

func (c *cluster) whole(i int) map[string]bool {
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		a, err := c.Read(i, "")
		if err == nil {
			have := map[string]bool{}
			for _, s := range a.Servers {
				have[s.ID] = true
			}
			return have
		}
		if time.Now().After(end) {
			c.t.Fatalf("replica %d: %v", i, err)
		}
	}
}
