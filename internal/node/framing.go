package node

import (
	"bytes"
	"strconv"
	"strings"
	"sync/atomic"
)

// framing follows where requests begin and end on a client's connection. net/http drops the Content-Length of a
// chunked request: its sender may have meant another end of the body, and what follows as a request to be part of it.
type framing struct {
	ambiguous atomic.Bool  // such a request has come
	requests  atomic.Int64 // that have begun

	part             framingPart
	line             []byte // what has come of a line; of a long one the beginning
	remaining        int64  // bytes of a body or chunk, with what ends a chunk
	length           int64  // what the head says, -1 if it says nothing
	chunked          bool
	headStarted      bool  // the head's first line has come
	requestCounted   bool  // of the head's first line something has come
	completeRequests int64 // requests that have come complete
}

type framingPart int

const (
	inHead framingPart = iota
	inBody
	inChunkSize
	inChunk
	inTrailer
	unparsable // net/http does not take what has come, and closes the connection
)

const maxHeaderLine = 128 // bytes of a line: no header that matters here is longer

// observe takes what has been read.
func (f *framing) observe(p []byte) {
	for len(p) > 0 && f.part != unparsable {
		if f.part == inBody || f.part == inChunk {
			n := min(int64(len(p)), f.remaining)
			p, f.remaining = p[n:], f.remaining-n
			if f.remaining == 0 && f.part == inChunk {
				f.part = inChunkSize
			} else if f.remaining == 0 {
				f.endRequest()
			}
			continue
		}
		line, rest, ended := bytes.Cut(p, []byte("\n"))
		if f.part == inHead && !f.requestCounted && len(bytes.Trim(line, "\r")) > 0 {
			f.requestCounted = true
			f.requests.Add(1)
		}
		f.line = append(f.line, line[:min(len(line), max(0, maxHeaderLine-len(f.line)))]...)
		if p = rest; ended {
			f.takeLine(strings.TrimSuffix(string(f.line), "\r"))
			f.line = f.line[:0]
		}
	}
}

func (f *framing) takeLine(line string) {
	switch f.part {
	case inChunkSize:
		size, _, _ := strings.Cut(line, ";")
		n, err := strconv.ParseInt(strings.TrimSpace(size), 16, 63)
		switch {
		case err != nil || n < 0:
			f.part = unparsable
		case n == 0:
			f.part = inTrailer
		default:
			f.part, f.remaining = inChunk, n+int64(len("\r\n"))
		}
	case inTrailer:
		if line == "" {
			f.endRequest()
		}
	case inHead:
		if line != "" {
			f.header(line)
		} else if f.headStarted { // net/http passes over empty lines before a request
			f.endHead()
		}
	}
}

func (f *framing) header(line string) {
	if !f.headStarted {
		f.headStarted = true
		f.length = -1
		f.chunked = false
		return
	}
	name, value, _ := strings.Cut(line, ":")
	switch {
	case strings.EqualFold(name, "Content-Length"):
		n, err := strconv.ParseInt(strings.TrimSpace(value), 10, 63)
		if err != nil {
			n = 0 // net/http does not take it
		}
		f.length = n
	case strings.EqualFold(name, "Transfer-Encoding"):
		f.chunked = true
	}
}

func (f *framing) endHead() {
	f.headStarted, f.requestCounted = false, false
	switch {
	case f.chunked && f.length >= 0:
		f.ambiguous.Store(true)
		f.part = unparsable
	case f.chunked:
		f.part = inChunkSize
	case f.length > 0:
		f.part, f.remaining = inBody, f.length
	default:
		f.endRequest()
	}
}

// endRequest is that of a request.
func (f *framing) endRequest() {
	f.part = inHead
	f.completeRequests++
}
