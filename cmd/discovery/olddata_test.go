package main

import (
	"archive/tar"
	"compress/gzip"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"meadowsill/internal/lab/discoverylab"
	"meadowsill/internal/registry"
)

// unpack unpacks a replica's data from a .tar.gz file into dir.
func unpack(t *testing.T, file, dir string) {
	t.Helper()
	f, err := os.Open(file)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	z, err := gzip.NewReader(f)
	if err != nil {
		t.Fatal(err)
	}
	for r := tar.NewReader(z); ; {
		h, err := r.Next()
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			t.Fatal(err)
		}
		to := filepath.Join(dir, filepath.Clean("/"+h.Name))
		if h.Typeflag == tar.TypeDir {
			err = os.MkdirAll(to, 0o755)
		} else {
			raw, _ := io.ReadAll(r)
			err = os.WriteFile(to, raw, 0o600)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
}

// TestOldDataRestores starts a replica with a fleet on data of a build without fleet support: a snapshot and a log that continues
// after it, from a process that was killed. The replica must continue from that data. The leases of its four registrations have
// lapsed since, so the leader must report these as removed.
func TestOldDataRestores(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	unpack(t, "testdata/v1-raft.tar.gz", dir)
	file := filepath.Join(t.TempDir(), "fleet.toml")
	if err := os.WriteFile(file, []byte("slots = 3"), 0o644); err != nil {
		t.Fatal(err)
	}
	network, err := discoverylab.ReserveNetwork()
	if err != nil {
		t.Fatal(err)
	}
	defer network.Close()
	ip := fmt.Sprintf("127.6.%d.1", network.Number)
	cmd := exec.Command(bin, "serve", "--id", "a", "--peer", fmt.Sprintf("a=%s:7000=%s:8000", ip, ip), "--dir", dir, "--fleet", file)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { cmd.Process.Kill(); cmd.Wait() }()
	var a registry.Answer
	for end := time.Now().Add(time.Minute); a.Version < 11; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("after a minute: %+v", a)
		}
		resp, err := http.Get("http://" + ip + ":8000/registry/instances?since=7")
		if err != nil {
			continue
		}
		decode(resp, &a)
		resp.Body.Close()
	}
	got := map[string]string{}
	for _, e := range a.Servers {
		got[e.ID] = e.State
	}
	if d := cmp.Diff(map[string]string{"s-0": "gone", "s-1": "gone", "s-2": "gone", "s-4": "gone"}, got); a.Full || d != "" {
		t.Errorf("changes after the old data's revision 7, which should remove the four servers: full %v %s", a.Full, d)
	}
}
