// Command simhost runs instances of the decision module for the simulator. It reads a batch of events per line from standard input
// and writes a reply per line to standard output.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"meadowsill/internal/wire"
	"meadowsill/policy"
)

// bufferSize is the size of the input buffer and of the output buffer, in bytes.
const bufferSize = 1 << 20

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

// run reads lines from in until its end and writes a reply to each of them to out.
func run(in io.Reader, out io.Writer) error {
	reader := bufio.NewReaderSize(in, bufferSize)
	writer := bufio.NewWriterSize(out, bufferSize)
	modules := instances{}
	var reply []byte
	for lineNumber := 1; ; lineNumber++ {
		line, err := reader.ReadBytes('\n')
		if errors.Is(err, io.EOF) && len(line) == 0 {
			return nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("line %d: %w", lineNumber, err)
		}
		replies, err := modules.answer(line)
		if err != nil {
			return fmt.Errorf("line %d: %w", lineNumber, err)
		}
		reply = wire.AppendReply(reply[:0], replies)
		if _, err := writer.Write(reply); err != nil {
			return err
		}
		if err := writer.Flush(); err != nil {
			return err
		}
	}
}

// instances are the running modules by node ID.
type instances map[int]*policy.Module

// answer passes the events of a line to the modules and returns the modules' actions.
func (m instances) answer(line []byte) ([]wire.Reply, error) {
	batch, err := wire.DecodeBatch(line)
	if err != nil {
		return nil, err
	}
	var replies []wire.Reply
	for _, events := range batch.Instances {
		reply, err := m.handle(batch.Now, events)
		if err != nil {
			return nil, err
		}
		replies = append(replies, reply)
	}
	return replies, nil
}

// handle passes its events to one instance and returns the actions.
func (m instances) handle(now policy.Time, events wire.InstanceEvents) (wire.Reply, error) {
	reply := wire.Reply{NodeID: events.NodeID}
	for i, event := range events.Events {
		switch {
		case event.Start != nil:
			m[events.NodeID] = policy.New(event.Start.Settings, event.Start.Seed)
		case event.Retire:
			delete(m, events.NodeID)
			reply.Actions = nil // actions of a retired instance are dropped
		default:
			module := m[events.NodeID]
			if module == nil {
				return wire.Reply{}, fmt.Errorf("node %d, event %d: no up came before it", events.NodeID, i)
			}
			reply.Actions = append(reply.Actions, module.Handle(now, event.Event)...)
		}
	}
	return reply, nil
}
