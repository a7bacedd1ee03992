package node

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	doorPlaces = 8                      // callers at a time; their descriptors are among the process's own
	lineLimit  = 256                    // bytes of a call
	lineWait   = 3 * time.Second        // for a call to be finished
	lingerWait = 250 * time.Millisecond // for a caller to take its answer and go
	lingerMost = 64 << 10               // bytes that it may still send: a close with some unread would undo the answer
)

// door is where operators call the node: one line on a connection, answered by one that begins with ACK or NAK.
// No call waits for the decision loop, which may be busy.
type door struct {
	front *frontend
	bans  *bans
	ctx   context.Context // of all that a call sets going
	log   *slog.Logger

	mu      sync.Mutex
	waiting []*net.TCPConn // callers whose line is not read yet, the longest wait first
	work    sync.WaitGroup
}

// run lets callers in until ctx ends.
func (d *door) run(l *net.TCPListener) {
	defer d.work.Wait()
	stop := context.AfterFunc(d.ctx, func() { l.Close() })
	defer stop()
	d.log.Info("operators may call", "door", l.Addr())
	places := make(chan struct{}, doorPlaces)
	for {
		c, err := l.AcceptTCP()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			d.log.Error("operators' door", "err", err)
			time.Sleep(10 * time.Millisecond) // what fails may fail again at once
			continue
		}
		select {
		case places <- struct{}{}:
		default:
			d.pushOut()
			places <- struct{}{} // soon: a caller with a finished line is answered at once, and lingers briefly
		}
		d.mu.Lock()
		d.waiting = append(d.waiting, c)
		d.mu.Unlock()
		d.work.Go(func() { d.answer(c); <-places })
	}
}

// pushOut ends the wait of the caller that has not finished its line for longest. It is a half-close: a line that has come
// whole and is not read yet, or is being dealt with, gets its answer.
func (d *door) pushOut() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.waiting) > 0 {
		d.waiting[0].CloseRead()
		d.waiting = d.waiting[1:]
	}
}

func (d *door) answer(c *net.TCPConn) {
	defer c.Close()
	stop := context.AfterFunc(d.ctx, func() { c.Close() })
	defer stop()
	c.SetDeadline(time.Now().Add(lineWait))
	line, err := bufio.NewReaderSize(c, lineLimit).ReadSlice('\n')
	d.mu.Lock()
	d.waiting = slices.DeleteFunc(d.waiting, func(w *net.TCPConn) bool { return w == c })
	d.mu.Unlock()
	var no error
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		no = errors.New("the line is too long")
	case err != nil:
		no = errors.New("the line is not finished")
	default:
		no = d.call(string(line))
	}
	reply := "ACK"
	if no != nil {
		reply = "NAK " + no.Error()
	}
	if call := strings.TrimSpace(string(line)); call != "readyz" { // which may come every moment
		d.log.Info("operators' call", "call", call, "answer", reply)
	}
	c.SetDeadline(time.Now().Add(lingerWait))
	if _, err := io.WriteString(c, reply+"\n"); err != nil {
		return
	}
	c.CloseWrite()
	io.CopyN(io.Discard, c, lingerMost)
}

// call does what a line asks for, or says why not.
func (d *door) call(line string) error {
	for _, r := range strings.TrimRight(line, "\r\n") {
		if r < ' ' && r != '\t' || r > '~' {
			return errors.New("the line is not plain text")
		}
	}
	words := strings.Fields(line)
	if len(words) == 0 {
		return errors.New("the line is empty")
	}
	calls := map[string]struct {
		argument string
		do       func(string) error
	}{"readyz": {"", d.readyz}, "evacuate": {"", d.evacuate}, "activate": {"", d.activate},
		"exclude": {"the app server's id", d.bans.exclude}, "include": {"the app server's id", d.bans.include}}
	call, known := calls[words[0]]
	argument := strings.Join(words[1:], " ")
	switch {
	case !known:
		return errors.New("unknown call")
	case call.argument == "" && argument != "":
		return errors.New(words[0] + " takes no argument")
	case call.argument != "" && len(words) != 2:
		return errors.New(words[0] + " takes one argument, " + call.argument)
	}
	return call.do(argument)
}

func (d *door) readyz(string) error {
	if why := d.front.unready(); why != "" {
		return errors.New(why)
	}
	return nil
}

func (d *door) evacuate(string) error {
	d.front.emptied.Store(true)
	return nil
}

func (d *door) activate(string) error {
	if d.front.draining.Load() {
		return errors.New("the process ends")
	}
	d.front.emptied.Store(false)
	return nil
}
