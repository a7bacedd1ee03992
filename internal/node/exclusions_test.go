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

// twoServers is a list of two servers at addr that show by their port who they are.
func twoServers(one, other string) endpointList {
	l := known(one, other)
	l.entries[0].name, l.entries[1].name = "s-00000001", "s-00000002"
	return l
}

// An app server that was taken out gets nothing, on no connection, until it is given back, over a change of the list
// and a process that follows on this one.
func TestExcludeAndInclude(t *testing.T) {
	t.Parallel()
	var first, second atomic.Int64
	one := backend(t, answering(func(*http.Request, []byte) string { first.Add(1); return ok("1") }))
	other := backend(t, answering(func(*http.Request, []byte) string { second.Add(1); return ok("2") }))
	updates := make(chan string)
	disco := registry(t, func(int, url.Values) string { return <-updates })
	t.Cleanup(func() { close(updates) }) // before discovery's own end, which waits for those that wait here
	config := func(dir string) *Config {
		c := &Config{Admin: anyPort, Settings: settings(), Known: twoServers(one, other), TempDir: dir}
		c.Settings.SlowStartWindow = 50 * time.Millisecond
		c.Discovery = disco
		return c
	}
	dir := t.TempDir()
	n := start(t, config(dir))
	poll := func(n *testNode, count int) {
		t.Helper()
		for range count {
			n.served(t)
		}
	}
	for end := time.Now().Add(patient); first.Load() == 0 || second.Load() == 0; poll(n, 1) {
		if time.Now().After(end) {
			t.Fatal("not both servers are in use")
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
	was := first.Load()
	poll(n, 20)
	updates <- jsonList(2, false, "gone", one)
	updates <- jsonList(3, false, "ready", one)
	poll(n, 20)
	n.stop()
	<-n.ended
	n = start(t, config(dir))
	poll(n, 20)
	if got := first.Load() - was; got > 0 {
		t.Errorf("the server that is out got %d requests", got)
	}
	if got := n.call(t, "include s-00000001\n"); got != "ACK\n" { // two calls out need one back
		t.Errorf("include: %q", got)
	}
	for end := time.Now().Add(patient); first.Load() == was; {
		if poll(n, 1); time.Now().After(end) {
			t.Fatal("given back it is not used")
		}
	}
}

// Two processes of an upgrade agree, whichever was called.
func TestExclusionsOfAnUpgrade(t *testing.T) {
	t.Parallel()
	c := &Config{Settings: settings(), TempDir: t.TempDir()}
	var processes [2]*exclusions
	for i := range processes {
		b := newUpstreams(c, 10, quiet)
		b.update(twoServers("127.0.0.1:1", "127.0.0.1:2"))
		processes[i] = openExclusions(c, b, quiet)
		processes[i].setServerNames(map[policy.ServerID]string{1: "s-00000001", 2: "s-00000002"})
	}
	closed := func(i int) string {
		return fmt.Sprint(processes[i].backends.host(1).closed, processes[i].backends.host(2).closed)
	}
	if err := processes[0].exclude("s-00000001"); err != nil {
		t.Fatal(err)
	}
	if err := processes[1].exclude("s-00000002"); err != nil { // it has not looked since the other's call
		t.Fatal(err)
	}
	processes[0].refresh()
	if closed(0) != "true true" || closed(1) != "true true" {
		t.Errorf("out: %s, %s", closed(0), closed(1))
	}
	if err := processes[0].include("s-00000002"); err != nil {
		t.Fatal(err)
	}
	processes[1].refresh()
	out, back := processes[1].current()
	if closed(1) != "true false" || !out["s-00000001"] || len(out) != 1 || time.Since(back["s-00000002"]) > patient {
		t.Errorf("one back: %s, out %v, back %v", closed(1), out, back)
	}
	// A ban outlasts its server: it can be lifted when the list has it no more.
	processes[0].setServerNames(nil)
	if err := processes[0].include("s-00000001"); err != nil {
		t.Error(err)
	}
}

// A ban that one process was given binds the other within the grace, however short that is.
func TestExclusionOfTheOtherBindsWithinTheGrace(t *testing.T) {
	t.Parallel()
	for _, grace := range []time.Duration{20 * time.Millisecond, 250 * time.Millisecond, 4 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			c := &Config{Settings: settings(), TempDir: t.TempDir()}
			var processes [2]*exclusions
			for i := range processes {
				b := newUpstreams(c, 10, quiet)
				b.update(twoServers("127.0.0.1:1", "127.0.0.1:2"))
				processes[i] = openExclusions(c, b, quiet)
				processes[i].setServerNames(map[policy.ServerID]string{1: "s-00000001", 2: "s-00000002"})
			}
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			go runEvery(ctx, exclusionsPollIntervalFor(grace), processes[1].refresh)
			synctest.Wait() // the next look is as far as it can be
			if err := processes[0].exclude("s-00000001"); err != nil {
				t.Fatal(err)
			}
			time.Sleep(grace / 2) // half is for the disk and a slow core
			synctest.Wait()
			if !processes[1].backends.isClosed(processes[1].backends.host(1)) {
				t.Errorf("with a grace of %v it does not bind", grace)
			}
		})
	}
}

// A damaged file stops no start, and the next call mends it. What can't be put on file is rejected.
func TestExclusionsFileDamaged(t *testing.T) {
	t.Parallel()
	c := &Config{Name: "n/1", Settings: settings(), TempDir: t.TempDir()}
	b := newUpstreams(c, 10, quiet)
	path := openExclusions(c, b, quiet).path
	if filepath.Dir(path) != c.TempDir {
		t.Fatalf("%s is not in %s", path, c.TempDir)
	}
	for _, text := range []string{"", "{", `{"out":3}`, "\x00"} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		s := openExclusions(c, b, quiet)
		s.setServerNames(map[policy.ServerID]string{1: "s-00000001"})
		if err := s.exclude("s-00000001"); err != nil {
			t.Errorf("%q: %v", text, err)
		}
		if out, _ := openExclusions(c, b, quiet).current(); !out["s-00000001"] {
			t.Errorf("after %q the ban is not on file", text)
		}
	}
	s := openExclusions(c, b, quiet)
	s.setServerNames(map[policy.ServerID]string{2: "s-00000002"})
	if err := os.RemoveAll(c.TempDir); err != nil {
		t.Fatal(err)
	}
	if err := s.exclude("s-00000002"); err == nil {
		t.Error("a ban that is on no file is acknowledged")
	}
}

// A file that changes within a tick of the clock, and in the inode of the one before, is taken all the same.
func TestExclusionsChangedWithinATick(t *testing.T) {
	t.Parallel()
	c := &Config{Name: "n", Settings: settings(), TempDir: t.TempDir()}
	b := newUpstreams(c, 10, quiet)
	path, at := openExclusions(c, b, quiet).path, time.Now().Add(-time.Second)
	var s *exclusions
	for i, text := range []string{`{"out":["s-00000001"],"back":{}}`, `{"out":["s-00000002"],"back":{}}`} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil { // the same inode and size
			t.Fatal(err)
		}
		if err := os.Chtimes(path, at, at); err != nil {
			t.Fatal(err)
		}
		if i == 0 {
			s = openExclusions(c, b, quiet)
		}
	}
	s.refresh()
	if out, _ := s.current(); len(out) != 1 || !out["s-00000002"] {
		t.Errorf("out: %v", out)
	}
}

// The other process is stopped as it changes the file: the loop goes on, and so do looks; the call is rejected in time.
func TestExclusionsLockedByTheOther(t *testing.T) {
	t.Parallel()
	c := &Config{Name: "n", Settings: settings(), TempDir: t.TempDir()}
	s := openExclusions(c, newUpstreams(c, 10, quiet), quiet)
	names := map[policy.ServerID]string{1: "s-00000001"}
	s.setServerNames(names)
	other, err := s.lock()
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	waits, loop := make(chan struct{}), make(chan struct{})
	var first sync.Once
	s.flock = func(fd, how int) error { // as the call requests the lock, the loop takes a list and notifies the module of exclusions
		first.Do(func() { close(waits); <-loop })
		return syscall.Flock(fd, how)
	}
	answer := make(chan error, 1)
	go func() { answer <- s.exclude("s-00000001") }()
	<-waits
	went := make(chan struct{})
	go func() { s.setServerNames(names); s.current(); close(went) }()
	select {
	case <-went:
	case <-time.After(patient):
		t.Error("the loop waits for the file")
	}
	close(loop)
	select {
	case err := <-answer:
		if out, _ := s.current(); err == nil || len(out) > 0 {
			t.Errorf("the call: %v, out %v", err, out)
		}
	case <-time.After(patient):
		t.Fatal("the call gets no answer")
	}
	other.Close()
	if err := s.exclude("s-00000001"); err != nil {
		t.Errorf("once the other goes on: %v", err)
	}
}
