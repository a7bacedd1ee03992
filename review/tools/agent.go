package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// replicas are the three replicas of discovery, as processes.
type replicas struct {
	b         *bench
	ids       []string
	raft, web []string
	processes []*exec.Cmd
	extra     string // further flags
}

func (b *bench) startReplicas(extra string) (*replicas, error) {
	addrs, err := freeAddrs(6)
	if err != nil {
		return nil, err
	}
	r := &replicas{b: b, ids: []string{"a", "b", "c"}, raft: addrs[:3], web: addrs[3:], processes: make([]*exec.Cmd, 3), extra: extra}
	for i := range r.ids {
		if err := r.startOne(i); err != nil {
			return nil, err
		}
	}
	if !until(20*time.Second, func() bool { return r.leader() >= 0 }) {
		return nil, fmt.Errorf("%w: no replica leads", errNotRun)
	}
	return r, nil
}

func (r *replicas) startOne(i int) error {
	var command strings.Builder
	command.WriteString("exec bin/discovery serve --id " + r.ids[i] + " --dir " + filepath.Join(r.b.dir, "replica-"+r.ids[i]))
	for k := range r.ids {
		command.WriteString(fmt.Sprintf(" --peer %s=%s=%s", r.ids[k], r.raft[k], r.web[k]))
	}
	p, err := r.b.process("replica-"+r.ids[i], command.String()+" "+r.extra)
	r.processes[i] = p
	return err
}

// call makes one call and returns its status and body.
func call(method, addr, path string, body any, timeout time.Duration) (int, string, error) {
	raw := []byte(nil)
	if body != nil {
		raw, _ = json.Marshal(body)
	}
	req, err := http.NewRequest(method, "http://"+addr+path, bytes.NewReader(raw))
	if err != nil {
		return 0, "", err
	}
	client := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, strings.TrimSpace(string(text)), err
}

// leader returns the index of the replica that leads, or -1.
func (r *replicas) leader() int {
	for i, addr := range r.web {
		if _, text, err := call("GET", addr, "/registry/v1/status", nil, 300*time.Millisecond); err == nil && strings.Contains(text, `"state":"Leader"`) {
			return i
		}
	}
	return -1
}

// register registers a server and waits for the acknowledgement.
func (r *replicas) register(s listedServer, ttl time.Duration) error {
	body := map[string]any{"id": s.ID, "addr": s.Addr, "zone": s.Zone, "kind": s.Kind, "cell": s.Cell, "state": s.State, "weight": s.Weight, "started_ms": s.Started, "ttl_ms": ttl.Milliseconds()}
	var last string
	if !until(10*time.Second, func() bool {
		i := r.leader()
		if i < 0 {
			return false
		}
		status, text, err := call("POST", r.web[i], "/registry/v1/register", body, time.Second)
		last = fmt.Sprint(status, text, err)
		return err == nil && status == 200
	}) {
		return fmt.Errorf("%w: %s is not registered: %s", errNotRun, s.ID, last)
	}
	r.b.log("registered %s: %s", s.ID, last)
	return nil
}

// agentRestart: all replicas are gone, and the node's agent restarts. The node must serve on by the list that it has.
func agentRestart(b *bench) (bool, error) {
	apps := &appServers{b: b, work: 5 * time.Millisecond}
	list, err := apps.start(3)
	if err != nil {
		return false, err
	}
	r, err := b.startReplicas("")
	if err != nil {
		return false, err
	}
	for _, s := range list {
		if err := r.register(s, time.Minute); err != nil {
			return false, err
		}
	}
	addrs, err := freeAddrs(2)
	if err != nil {
		return false, err
	}
	agentAddr, listen := addrs[0], addrs[1]
	var agentCommand strings.Builder
	agentCommand.WriteString("exec bin/discovery agent --listen " + agentAddr)
	for _, addr := range r.web {
		agentCommand.WriteString(" --replica " + addr)
	}
	agent, err := b.process("agent", agentCommand.String())
	if err != nil {
		return false, err
	}
	if !until(10*time.Second, func() bool {
		_, text, _ := call("GET", agentAddr, "/registry/instances", nil, time.Second)
		return strings.Count(text, `"ready"`) == 3
	}) {
		return false, fmt.Errorf("%w: the agent has no list", errNotRun)
	}
	if _, err := b.startNode(nodeConfig{listen: listen, discovery: agentAddr, sockets: 1024, memoryMB: 192, servers: list}); err != nil {
		return false, err
	}
	if !until(10*time.Second, func() bool { return isReady(listen) }) {
		return false, fmt.Errorf("%w: the node is not ready", errNotRun)
	}
	play := func(what string, base int) (served int) {
		for i := range 40 {
			id := fmt.Sprintf("%016x", base+i)
			c, err := net.Dial("tcp", listen)
			if err != nil {
				b.log("client: %s: %v", id, err)
				continue
			}
			a := exchange(c, bufio.NewReader(c), id, "place-order", "sahil-pets", 1500*time.Millisecond, 3*time.Second)
			c.Close()
			if a.status == 200 {
				served++
			}
			b.log("client: %s: %d %q %v", id, a.status, a.body, a.err)
			time.Sleep(50 * time.Millisecond)
		}
		b.log("%s: served %d of 40", what, served)
		return served
	}
	before := play("before", 0)
	if before != 40 {
		return false, fmt.Errorf("%w: served %d of 40 before the disruption", errNotRun, before)
	}
	if b.trouble {
		for i, p := range r.processes {
			b.kill("replica "+r.ids[i], p)
		}
	}
	b.kill("agent", agent)
	if _, err := b.process("agent", agentCommand.String()); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	status, text, err := call("GET", agentAddr, "/registry/instances?since=1&timeout_ms=1", nil, time.Second)
	b.log("the agent answers a watch with %d %q %v", status, text, err)
	after := play("after", 1000)
	ready := isReady(listen)
	b.log("the node is ready: %v", ready)
	b.copyLog("balancer", 5)
	return after < 40, nil
}
