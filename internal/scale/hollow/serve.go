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
	maxLineBytes  = 1 << 20 // of the protocol between runner and hollow process
	maxErrorBytes = 500     // of an error in a Reply
)

// Serve is the main loop of a hollow process: it reads a Config from in, starts the nodes and servers, and writes a Reply to the
// Config and to each Request to out. It returns nil when in or ctx ends. It returns an error if the Config is bad, in which case the
// only Reply has the same error, or if writing to out fails. A bad Request gets a Reply with an error and changes nothing.
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

// answer decodes a request from a line, executes it and returns the reply.
func (g *group) answer(ctx context.Context, line []byte) Reply {
	var r Request
	decoder := json.NewDecoder(bytes.NewReader(line))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&r); err != nil {
		return errorReply(fmt.Errorf("request: %w", err))
	}
	return g.do(ctx, r)
}

// readLines sends the lines of in to the returned channel one by one and calls onEnd after the last. ended returns the error that
// ended the reading, nil at the end of in or while the reading goes on.
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
			return nil // reading has not ended: the caller's context has
		}
	}
}

// oneLine replaces control characters, such as line breaks, by spaces and cuts the text to maxErrorBytes.
func oneLine(text string) string {
	text = strings.Map(func(r rune) rune {
		if unicode.IsControl(r) {
			return ' '
		}
		return r
	}, text)
	return text[:min(len(text), maxErrorBytes)]
}
