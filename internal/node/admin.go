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
	maxAdminCallers  = 8                      // callers at a time; their descriptors are among the process's own
	maxAdminLine     = 256                    // bytes of a call
	adminLineTimeout = 3 * time.Second        // for a call to be finished
	adminLingerTime  = 250 * time.Millisecond // for a caller to take its answer and go
	maxAdminLinger   = 64 << 10               // bytes that it may still send: a close with some unread would undo the answer
)

// adminServer serves the admin API, by which operators call the node: one line on a connection, answered by one that
// begins with ACK or NAK. No call waits for the decision loop, which may be busy.
type adminServer struct {
	frontend   *frontend
	exclusions *exclusions
	ctx        context.Context // of all that a call sets going
	log        *slog.Logger

	mu      sync.Mutex     // guards waiting
	waiting []*net.TCPConn // callers whose line is not read yet, the longest wait first
	work    sync.WaitGroup
}

// run lets callers in until ctx ends.
func (s *adminServer) run(l *net.TCPListener) {
	defer s.work.Wait()
	stop := context.AfterFunc(s.ctx, func() { l.Close() })
	defer stop()
	s.log.Info("admin API open", "admin", l.Addr())
	places := make(chan struct{}, maxAdminCallers)
	for {
		c, err := l.AcceptTCP()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.log.Error("admin API", "err", err)
			time.Sleep(10 * time.Millisecond) // what fails may fail again at once
			continue
		}
		select {
		case places <- struct{}{}:
		default:
			s.evictSlowest()
			places <- struct{}{} // soon: a caller with a finished line is answered at once, and lingers briefly
		}
		s.mu.Lock()
		s.waiting = append(s.waiting, c)
		s.mu.Unlock()
		s.work.Go(func() { s.answer(c); <-places })
	}
}

// evictSlowest ends the wait of the caller that has not finished its line for longest. It is a half-close: a line that has come
// whole and is not read yet, or is being dealt with, gets its answer.
func (s *adminServer) evictSlowest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting) > 0 {
		s.waiting[0].CloseRead()
		s.waiting = s.waiting[1:]
	}
}

func (s *adminServer) answer(c *net.TCPConn) {
	defer c.Close()
	stop := context.AfterFunc(s.ctx, func() { c.Close() })
	defer stop()
	c.SetDeadline(time.Now().Add(adminLineTimeout))
	line, err := bufio.NewReaderSize(c, maxAdminLine).ReadSlice('\n')
	s.mu.Lock()
	s.waiting = slices.DeleteFunc(s.waiting, func(w *net.TCPConn) bool { return w == c })
	s.mu.Unlock()
	var no error
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		no = errors.New("the line is too long")
	case err != nil:
		no = errors.New("the line is not finished")
	default:
		no = s.call(string(line))
	}
	reply := "ACK"
	if no != nil {
		reply = "NAK " + no.Error()
	}
	if call := strings.TrimSpace(string(line)); call != "readyz" { // which may come every moment
		s.log.Info("admin API call", "call", call, "answer", reply)
	}
	c.SetDeadline(time.Now().Add(adminLingerTime))
	if _, err := io.WriteString(c, reply+"\n"); err != nil {
		return
	}
	c.CloseWrite()
	io.CopyN(io.Discard, c, maxAdminLinger)
}

// call does what a line requests, or says why not.
func (s *adminServer) call(line string) error {
	for _, r := range strings.TrimRight(line, "\r\n") {
		if r < ' ' && r != '\t' || r > '~' {
			return errors.New("the line is not plain text")
		}
	}
	fields := strings.Fields(line)
	if len(fields) == 0 {
		return errors.New("the line is empty")
	}
	calls := map[string]struct {
		argument string
		do       func(string) error
	}{"readyz": {"", s.readyz}, "evacuate": {"", s.evacuate}, "activate": {"", s.activate},
		"exclude": {"the app server's id", s.exclusions.exclude}, "include": {"the app server's id", s.exclusions.include}}
	call, known := calls[fields[0]]
	argument := strings.Join(fields[1:], " ")
	switch {
	case !known:
		return errors.New("unknown call")
	case call.argument == "" && argument != "":
		return errors.New(fields[0] + " takes no argument")
	case call.argument != "" && len(fields) != 2:
		return errors.New(fields[0] + " takes one argument, " + call.argument)
	}
	return call.do(argument)
}

func (s *adminServer) readyz(string) error {
	if why := s.frontend.notReadyReason(); why != "" {
		return errors.New(why)
	}
	return nil
}

func (s *adminServer) evacuate(string) error {
	s.frontend.evacuated.Store(true)
	return nil
}

func (s *adminServer) activate(string) error {
	if s.frontend.draining.Load() {
		return errors.New("the process ends")
	}
	s.frontend.evacuated.Store(false)
	return nil
}
