package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// TestManyClientsLeaveDescriptors guards against clients that take all file descriptors. Under a real descriptor limit and with discovery
// down, many clients connect at once and stay idle or send nothing. The node must still be able to call discovery, and must accept
// another client once it may close some idle connections.
func TestManyClientsLeaveDescriptors(t *testing.T) {
	t.Parallel()
	const sockets = 64
	discovery, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer discovery.Close()
	var calls atomic.Int64
	go func() {
		for {
			c, err := discovery.Accept()
			if err != nil {
				return
			}
			calls.Add(1)
			c.Close() // discovery is down
		}
	}()
	text, err := os.ReadFile("testdata/config.json")
	if err != nil {
		t.Fatal(err)
	}
	config := strings.Replace(fmt.Sprintf(string(text), discovery.Addr()), `"limits":{}`,
		fmt.Sprintf(`"limits":{"cores":1,"memory_mb":192,"sockets":%d}`, sockets), 1)
	cmd, _ := newCommand(t, config)
	limited := exec.Command("/bin/sh", "-c", fmt.Sprintf(`ulimit -n %d; exec "$0"`, sockets), cmd.Path)
	limited.Env = cmd.Env
	log, err := limited.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := limited.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { limited.Process.Kill(); limited.Wait() }()
	listen := make(chan string, 1)
	go func() {
		for lines := bufio.NewScanner(log); lines.Scan(); {
			if _, rest, found := strings.Cut(lines.Text(), "listen="); found {
				addr, _, _ := strings.Cut(rest, " ")
				listen <- addr
			}
			if strings.Contains(lines.Text(), "too many open files") {
				t.Error(lines.Text())
			}
		}
	}()
	const testTimeout = 20 * time.Second
	var addr string
	select {
	case addr = <-listen:
	case <-time.After(testTimeout):
		t.Fatal("the node does not start to serve")
	}
	for i := range sockets / 2 {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if i >= sockets/4 {
			continue // this client sends nothing and holds one of the last connections
		}
		io.WriteString(c, "GET /health/live HTTP/1.1\r\nHost: h\r\n\r\n")
		c.SetReadDeadline(time.Now().Add(testTimeout))
		if _, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil {
			t.Fatal(err)
		}
	}
	before := calls.Load()
	client := http.Client{Timeout: testTimeout}
	if resp, err := client.Get("http://" + addr + "/health/ready"); err != nil {
		t.Errorf("a new client is kept out by idle ones: %v", err)
	} else {
		resp.Body.Close()
	}
	for end := time.Now().Add(testTimeout); calls.Load() < before+2; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the node no longer calls discovery")
		}
	}
}
