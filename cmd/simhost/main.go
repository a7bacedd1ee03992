// Command simhost hosts instances of the decision module on the simulator's wire: a batch of events per line on standard
// input, a reply per line on standard output.
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

// bufferSize is that of the input and the output, in bytes.
const bufferSize = 1 << 20

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

// run answers each line of in on out, until in ends.
func run(in io.Reader, out io.Writer) error {
	reader := bufio.NewReaderSize(in, bufferSize)
	writer := bufio.NewWriterSize(out, bufferSize)
	modules := instances{}
	var reply []byte
	for number := 1; ; number++ {
		line, err := reader.ReadBytes('\n')
		if errors.Is(err, io.EOF) && len(line) == 0 {
			return nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("line %d: %w", number, err)
		}
		replies, err := modules.answer(line)
		if err != nil {
			return fmt.Errorf("line %d: %w", number, err)
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

// instances are the modules that run, by node.
type instances map[int]*policy.Module

// answer gives a line's events to the modules and returns what they do.
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

// handle gives one instance its events.
func (m instances) handle(now policy.Time, events wire.InstanceEvents) (wire.Reply, error) {
	reply := wire.Reply{NodeID: events.NodeID}
	for i, event := range events.Events {
		switch {
		case event.Start != nil:
			m[events.NodeID] = policy.New(event.Start.Settings, event.Start.Seed)
		case event.Retire:
			delete(m, events.NodeID)
			reply.Actions = nil // a retired instance does nothing
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
