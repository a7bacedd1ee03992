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

// bin is the path of the discovery binary under test, which TestMain builds once. With DISCOVERY_RACE=1 in the environment it is
// built with the race detector, with which these tests take several times as long.
var bin string

var raceOn = os.Getenv("DISCOVERY_RACE") != ""

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "discovery-test")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	args := []string{"build", "-o", dir + "/"}
	if raceOn { // -race turns on checkptr, which fails on the boltdb of the raft store
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
			checkNoDataRace(t, d+".log")
		}
	})
	return &cluster{Cluster: lc, t: t}
}

// checkNoDataRace fails the test if a process's log reports a data race or can't be read.
func checkNoDataRace(t *testing.T, file string) {
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

// register tries the replicas in turn, beginning with from, until one acknowledges or 30 s have passed. It records each attempt
// as acknowledged or of unknown outcome, except those that a replica rejected because it is not the leader.
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

func (c *cluster) completeList(i int) map[string]bool {
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
