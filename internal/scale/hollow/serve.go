package hollow

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"unicode"
)

const (
	maxLineBytes  = 1 << 20 // bytes of a line of the protocol
	maxErrorBytes = 500     // bytes of an error in a Reply
)

// Serve is the loop of a hollow process: it reads a Config from in, runs what that says, and answers it and each Request on out. It
// ends without an error when in does or ctx; with one where the Config is bad, which the only Reply then says too, or out is
// closed. A bad Request is answered with its error, and changes nothing.
func Serve(ctx context.Context, in io.Reader, out io.Writer, log *slog.Logger) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	lines, ended := readLines(ctx, in, cancel)
	reply := func(r Reply) error { return json.NewEncoder(out).Encode(r) }

	var first []byte
	select {
	case first = <-lines:
	case <-ctx.Done():
	}
	if first == nil {
		if err := ended(); err != nil {
			return err
		}
		return errors.New("config: missing")
	}
	cfg, err := decodeConfig(first)
	var g *group
	if err == nil {
		g, err = newGroup(ctx, cfg, log)
	}
	if err != nil {
		return errors.Join(err, reply(errorReply(err)))
	}
	defer g.close()
	for err = reply(Reply{}); err == nil; {
		select {
		case <-ctx.Done():
			return ended()
		case line := <-lines:
			err = reply(g.answer(ctx, line))
		}
	}
	return err
}

// answer carries out a line's request.
func (g *group) answer(ctx context.Context, line []byte) Reply {
	var r Request
	decoder := json.NewDecoder(bytes.NewReader(line))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&r); err != nil {
		return errorReply(fmt.Errorf("request: %w", err))
	}
	return g.do(ctx, r)
}

// readLines gives the lines of in one by one, and what ended them. It calls over at their end.
func readLines(ctx context.Context, in io.Reader, onEnd func()) (lines <-chan []byte, ended func() error) {
	out := make(chan []byte)
	result := make(chan error, 1)
	go func() {
		defer onEnd()
		scanner := bufio.NewScanner(in)
		scanner.Buffer(nil, maxLineBytes)
		for scanner.Scan() {
			select {
			case out <- bytes.Clone(scanner.Bytes()):
			case <-ctx.Done():
				result <- nil
				return
			}
		}
		result <- scanner.Err()
	}()
	return out, func() error {
		select {
		case err := <-result:
			return err
		default:
			return nil // the caller's context ended
		}
	}
}

// oneLine keeps an error on one line of bounded length.
func oneLine(text string) string {
	text = strings.Map(func(r rune) rune {
		if unicode.IsControl(r) {
			return ' '
		}
		return r
	}, text)
	return text[:min(len(text), maxErrorBytes)]
}
