package node

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"meadowsill/policy"
)

// twoServers returns a complete list of two ready servers at the given addresses, s-00000001 and s-00000002.
func twoServers(first, second string) endpointList {
	l := readyServers(first, second)
	l.entries[0].name, l.entries[1].name = "s-00000001", "s-00000002"
	return l
}

// An excluded app server gets no request on any connection until it is included again, even if the list changes or a new
// process replaces this one.
func TestExcludeAndInclude(t *testing.T) {
	t.Parallel()
	var firstRequests, secondRequests atomic.Int64
	firstAddr := startServer(t, answerWith(func(*http.Request, []byte) string { firstRequests.Add(1); return ok("1") }))
	secondAddr := startServer(t, answerWith(func(*http.Request, []byte) string { secondRequests.Add(1); return ok("2") }))
	updates := make(chan string)
	discovery := stubDiscovery(t, func(int, url.Values) string { return <-updates })
	t.Cleanup(func() { close(updates) }) // runs before the cleanup of discovery, which waits for the handlers that wait here
	config := func(dir string) *Config {
		c := &Config{Admin: anyPort, Settings: settings(), Known: twoServers(firstAddr, secondAddr), TempDir: dir}
		c.Settings.SlowStartWindow = 50 * time.Millisecond
		c.Discovery = discovery
		return c
	}
	dir := t.TempDir()
	n := start(t, config(dir))
	request := func(n *testNode, count int) {
		t.Helper()
		for range count {
			n.awaitServed(t)
		}
	}
	for end := time.Now().Add(testTimeout); firstRequests.Load() == 0 || secondRequests.Load() == 0; request(n, 1) {
		if time.Now().After(end) {
			t.Fatal("not both servers get requests")
		}
	}
	for call, want := range map[string]string{"exclude s-00000009\n": "NAK no app server", "include s-00000009\n": "NAK no app server",
		"exclude\n": "NAK exclude takes", "exclude s-00000001 s-00000002\n": "NAK exclude takes", "include s-00000002\n": "ACK\n"} {
		if got := n.call(t, call); !strings.HasPrefix(got, want) {
			t.Errorf("%q: %q", call, got)
		}
	}
	for range 2 {
		if got := n.call(t, "exclude s-00000001\n"); got != "ACK\n" {
			t.Errorf("exclude: %q", got)
		}
	}
	before := firstRequests.Load()
	request(n, 20)
	updates <- jsonList(2, false, "gone", firstAddr)
	updates <- jsonList(3, false, "ready", firstAddr)
	request(n, 20)
	n.stop()
	<-n.ended
	n = start(t, config(dir))
	request(n, 20)
	if got := firstRequests.Load() - before; got > 0 {
		t.Errorf("the excluded server got %d requests", got)
	}
	if got := n.call(t, "include s-00000001\n"); got != "ACK\n" { // one include undoes two excludes
		t.Errorf("include: %q", got)
	}
	for end := time.Now().Add(testTimeout); firstRequests.Load() == before; {
		if request(n, 1); time.Now().After(end) {
			t.Fatal("the included server gets no requests")
		}
	}
}

// The two processes of an upgrade have the same exclusions, whichever of them was called.
func TestExclusionsSharedInUpgrade(t *testing.T) {
	t.Parallel()
	c := &Config{Settings: settings(), TempDir: t.TempDir()}
	var processes [2]*exclusions
	for i := range processes {
		b := newUpstreams(c, 10, discardLog)
		b.update(twoServers("127.0.0.1:1", "127.0.0.1:2"))
		processes[i] = openExclusions(c, b, discardLog)
		processes[i].setServerNames(map[policy.ServerID]string{1: "s-00000001", 2: "s-00000002"})
	}
	closed := func(i int) string {
		return fmt.Sprint(processes[i].upstreamPool.host(1).closed, processes[i].upstreamPool.host(2).closed)
	}
	if err := processes[0].exclude("s-00000001"); err != nil {
		t.Fatal(err)
	}
	if err := processes[1].exclude("s-00000002"); err != nil { // this process has not polled the file since the other's call
		t.Fatal(err)
	}
	processes[0].refresh()
	if closed(0) != "true true" || closed(1) != "true true" {
		t.Errorf("closed after two exclusions: %s, %s", closed(0), closed(1))
	}
	if err := processes[0].include("s-00000002"); err != nil {
		t.Fatal(err)
	}
	processes[1].refresh()
	excluded, includedAt := processes[1].current()
	if closed(1) != "true false" || !excluded["s-00000001"] || len(excluded) != 1 || time.Since(includedAt["s-00000002"]) > testTimeout {
		t.Errorf("after an inclusion: closed %s, excluded %v, included %v", closed(1), excluded, includedAt)
	}
	// An exclusion outlasts its server: it can be undone after the server has left the list.
	processes[0].setServerNames(nil)
	if err := processes[0].include("s-00000001"); err != nil {
		t.Error(err)
	}
}

// An exclusion by one process takes effect in the other process within the grace, however short the grace is.
func TestOtherProcessExcludesWithinGrace(t *testing.T) {
	t.Parallel()
	for _, grace := range []time.Duration{20 * time.Millisecond, 250 * time.Millisecond, 4 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			c := &Config{Settings: settings(), TempDir: t.TempDir()}
			var processes [2]*exclusions
			for i := range processes {
				b := newUpstreams(c, 10, discardLog)
				b.update(twoServers("127.0.0.1:1", "127.0.0.1:2"))
				processes[i] = openExclusions(c, b, discardLog)
				processes[i].setServerNames(map[policy.ServerID]string{1: "s-00000001", 2: "s-00000002"})
			}
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			go runEvery(ctx, exclusionsPollIntervalFor(grace), processes[1].refresh)
			synctest.Wait() // the next poll is a full interval away
			if err := processes[0].exclude("s-00000001"); err != nil {
				t.Fatal(err)
			}
			time.Sleep(grace / 2) // the other half is for the disk and a slow core
			synctest.Wait()
			if !processes[1].upstreamPool.isClosed(processes[1].upstreamPool.host(1)) {
				t.Errorf("with a grace of %v the exclusion does not take effect", grace)
			}
		})
	}
}

// A node starts in spite of a damaged file, and the next call repairs the file. An exclusion that can't be stored is rejected.
func TestExclusionsFileDamaged(t *testing.T) {
	t.Parallel()
	c := &Config{Name: "n/1", Settings: settings(), TempDir: t.TempDir()}
	b := newUpstreams(c, 10, discardLog)
	path := openExclusions(c, b, discardLog).path
	if filepath.Dir(path) != c.TempDir {
		t.Fatalf("%s is not in %s", path, c.TempDir)
	}
	for _, text := range []string{"", "{", `{"out":3}`, "\x00"} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		e := openExclusions(c, b, discardLog)
		e.setServerNames(map[policy.ServerID]string{1: "s-00000001"})
		if err := e.exclude("s-00000001"); err != nil {
			t.Errorf("%q: %v", text, err)
		}
		if excluded, _ := openExclusions(c, b, discardLog).current(); !excluded["s-00000001"] {
			t.Errorf("after %q the exclusion is not stored", text)
		}
	}
	e := openExclusions(c, b, discardLog)
	e.setServerNames(map[policy.ServerID]string{2: "s-00000002"})
	if err := os.RemoveAll(c.TempDir); err != nil {
		t.Fatal(err)
	}
	if err := e.exclude("s-00000002"); err == nil {
		t.Error("an exclusion that is not stored is acknowledged")
	}
}

// A change of the file takes effect even if it leaves the inode, the size and the time of the file the same.
func TestExclusionsChangedWithinATick(t *testing.T) {
	t.Parallel()
	c := &Config{Name: "n", Settings: settings(), TempDir: t.TempDir()}
	b := newUpstreams(c, 10, discardLog)
	path, at := openExclusions(c, b, discardLog).path, time.Now().Add(-time.Second)
	var e *exclusions
	for i, text := range []string{`{"out":["s-00000001"],"back":{}}`, `{"out":["s-00000002"],"back":{}}`} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil { // the same inode and size
			t.Fatal(err)
		}
		if err := os.Chtimes(path, at, at); err != nil {
			t.Fatal(err)
		}
		if i == 0 {
			e = openExclusions(c, b, discardLog)
		}
	}
	e.refresh()
	if excluded, _ := e.current(); len(excluded) != 1 || !excluded["s-00000002"] {
		t.Errorf("excluded: %v", excluded)
	}
}

// The other process is stopped while it holds the file's lock. The event loop continues, and the call is rejected in time.
func TestExclusionsLockedByOtherProcess(t *testing.T) {
	t.Parallel()
	c := &Config{Name: "n", Settings: settings(), TempDir: t.TempDir()}
	e := openExclusions(c, newUpstreams(c, 10, discardLog), discardLog)
	names := map[policy.ServerID]string{1: "s-00000001"}
	e.setServerNames(names)
	other, err := e.lock()
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	locking, resume := make(chan struct{}), make(chan struct{})
	var first sync.Once
	e.flock = func(fd, how int) error { // while the call waits for the lock, the loop sets server names and reads the exclusions
		first.Do(func() { close(locking); <-resume })
		return syscall.Flock(fd, how)
	}
	answer := make(chan error, 1)
	go func() { answer <- e.exclude("s-00000001") }()
	<-locking
	loopRan := make(chan struct{})
	go func() { e.setServerNames(names); e.current(); close(loopRan) }()
	select {
	case <-loopRan:
	case <-time.After(testTimeout):
		t.Error("the loop waits for the file")
	}
	close(resume)
	select {
	case err := <-answer:
		if excluded, _ := e.current(); err == nil || len(excluded) > 0 {
			t.Errorf("the call: %v, excluded %v", err, excluded)
		}
	case <-time.After(testTimeout):
		t.Fatal("the call does not return")
	}
	other.Close()
	if err := e.exclude("s-00000001"); err != nil {
		t.Errorf("after the other process has unlocked the file: %v", err)
	}
}
