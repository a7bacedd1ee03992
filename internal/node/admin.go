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
	maxAdminCallers     = 8                      // connections at a time; reservedSockets includes their descriptors
	maxAdminLine        = 256                    // bytes of a call
	adminLineTimeout    = 3 * time.Second        // for a caller to finish its line
	adminLingerTime     = 250 * time.Millisecond // for a caller to read its answer and close
	maxAdminLingerBytes = 64 << 10               // bytes that are read meanwhile: closing with unread data would discard the answer
)

// adminServer serves the admin API, by which operators control the node. A caller sends one line on a connection and gets
// one line in answer, which begins with ACK or NAK. No call waits for the event loop, which may be busy.
type adminServer struct {
	frontend   *frontend
	exclusions *exclusions
	ctx        context.Context // ends the listener and every connection
	log        *slog.Logger

	mu      sync.Mutex     // guards waiting
	waiting []*net.TCPConn // callers whose line is not read yet, the oldest first
	work    sync.WaitGroup
}

// run accepts callers until ctx ends.
func (s *adminServer) run(l *net.TCPListener) {
	defer s.work.Wait()
	stop := context.AfterFunc(s.ctx, func() { l.Close() })
	defer stop()
	s.log.Info("admin API open", "admin", l.Addr())
	slots := make(chan struct{}, maxAdminCallers)
	for {
		c, err := l.AcceptTCP()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.log.Error("admin API", "err", err)
			time.Sleep(10 * time.Millisecond) // the error may occur again at once
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			s.evictOldest()
			slots <- struct{}{} // does not block long: a caller with a finished line is answered at once, and lingers briefly
		}
		s.mu.Lock()
		s.waiting = append(s.waiting, c)
		s.mu.Unlock()
		s.work.Go(func() { s.serveConn(c); <-slots })
	}
}

// evictOldest stops reading from the caller that has waited longest without finishing its line. It closes only the read side
// of the connection, so that a complete line that is not read yet, or is being handled, still gets its answer.
func (s *adminServer) evictOldest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting) > 0 {
		s.waiting[0].CloseRead()
		s.waiting = s.waiting[1:]
	}
}

// serveConn reads one call from a connection, carries it out and answers it with a line that begins with ACK or NAK.
func (s *adminServer) serveConn(c *net.TCPConn) {
	defer c.Close()
	stop := context.AfterFunc(s.ctx, func() { c.Close() })
	defer stop()
	c.SetDeadline(time.Now().Add(adminLineTimeout))
	line, err := bufio.NewReaderSize(c, maxAdminLine).ReadSlice('\n')
	s.mu.Lock()
	s.waiting = slices.DeleteFunc(s.waiting, func(w *net.TCPConn) bool { return w == c })
	s.mu.Unlock()
	var callErr error
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		callErr = errors.New("the line is too long")
	case err != nil:
		callErr = errors.New("the line is not finished")
	default:
		callErr = s.call(string(line))
	}
	reply := "ACK"
	if callErr != nil {
		reply = "NAK " + callErr.Error()
	}
	if call := strings.TrimSpace(string(line)); call != "readyz" { // readyz is not logged, since it may be called very often
		s.log.Info("admin API call", "call", call, "answer", reply)
	}
	c.SetDeadline(time.Now().Add(adminLingerTime))
	if _, err := io.WriteString(c, reply+"\n"); err != nil {
		return
	}
	c.CloseWrite()
	io.CopyN(io.Discard, c, maxAdminLingerBytes)
}

// call executes the call in a line, and returns the reason if it rejects the call.
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

// readyz succeeds if the node wants requests.
func (s *adminServer) readyz(string) error {
	if why := s.frontend.notReadyReason(); why != "" {
		return errors.New(why)
	}
	return nil
}

// evacuate has clients leave the node, until activate.
func (s *adminServer) evacuate(string) error {
	s.frontend.evacuated.Store(true)
	return nil
}

// activate ends the evacuation. It fails once the process drains.
func (s *adminServer) activate(string) error {
	if s.frontend.draining.Load() {
		return errors.New("the process ends")
	}
	s.frontend.evacuated.Store(false)
	return nil
}
