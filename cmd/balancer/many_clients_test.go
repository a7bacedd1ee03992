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

// Clients that come all at once and rest, or send nothing, fill the places while discovery is down, under a real limit of descriptors.
// Discovery is called all the same, and another client gets in once some of them may be closed.
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
			c.Close() // it is down
		}
	}()
	text, err := os.ReadFile("testdata/config.json")
	if err != nil {
		t.Fatal(err)
	}
	config := strings.Replace(fmt.Sprintf(string(text), discovery.Addr()), `"limits":{}`,
		fmt.Sprintf(`"limits":{"cores":1,"memory_mb":192,"sockets":%d}`, sockets), 1)
	cmd, _ := program(t, config)
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
	const patient = 20 * time.Second
	var addr string
	select {
	case addr = <-listen:
	case <-time.After(patient):
		t.Fatal("it does not serve")
	}
	for i := range sockets / 2 {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if i >= sockets/4 {
			continue // it sends nothing, and takes one of the last places
		}
		io.WriteString(c, "GET /health/live HTTP/1.1\r\nHost: h\r\n\r\n")
		c.SetReadDeadline(time.Now().Add(patient))
		if _, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil {
			t.Fatal(err)
		}
	}
	before := calls.Load()
	client := http.Client{Timeout: patient}
	if resp, err := client.Get("http://" + addr + "/health/ready"); err != nil {
		t.Errorf("kept out by idle clients: %v", err)
	} else {
		resp.Body.Close()
	}
	for end := time.Now().Add(patient); calls.Load() < before+2; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("discovery is not called any more")
		}
	}
}
