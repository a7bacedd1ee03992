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

	part    framingPart
	line    []byte // what has come of a line; of a long one the beginning
	left    int64  // bytes of a body or chunk, with what ends a chunk
	length  int64  // what the head says, -1 if it says nothing
	chunked bool
	begun   bool  // the head's first line has come
	counted bool  // of the head's first line something has come
	whole   int64 // requests that have come whole
}

type framingPart int

const (
	inHead framingPart = iota
	inBody
	inChunkSize
	inChunk
	inTrailer
	lost // net/http does not take what has come, and closes the connection
)

const lineKept = 128 // bytes of a line: no header that matters here is longer

// follow takes what has been read.
func (f *framing) follow(p []byte) {
	for len(p) > 0 && f.part != lost {
		if f.part == inBody || f.part == inChunk {
			n := min(int64(len(p)), f.left)
			p, f.left = p[n:], f.left-n
			if f.left == 0 && f.part == inChunk {
				f.part = inChunkSize
			} else if f.left == 0 {
				f.end()
			}
			continue
		}
		line, rest, ended := bytes.Cut(p, []byte("\n"))
		if f.part == inHead && !f.counted && len(bytes.Trim(line, "\r")) > 0 {
			f.counted = true
			f.requests.Add(1)
		}
		f.line = append(f.line, line[:min(len(line), max(0, lineKept-len(f.line)))]...)
		if p = rest; ended {
			f.take(strings.TrimSuffix(string(f.line), "\r"))
			f.line = f.line[:0]
		}
	}
}

func (f *framing) take(line string) {
	switch f.part {
	case inChunkSize:
		size, _, _ := strings.Cut(line, ";")
		n, err := strconv.ParseInt(strings.TrimSpace(size), 16, 63)
		switch {
		case err != nil || n < 0:
			f.part = lost
		case n == 0:
			f.part = inTrailer
		default:
			f.part, f.left = inChunk, n+int64(len("\r\n"))
		}
	case inTrailer:
		if line == "" {
			f.end()
		}
	case inHead:
		if line != "" {
			f.header(line)
		} else if f.begun { // net/http passes over empty lines before a request
			f.endHead()
		}
	}
}

func (f *framing) header(line string) {
	if !f.begun {
		f.begun, f.length, f.chunked = true, -1, false
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
	f.begun, f.counted = false, false
	switch {
	case f.chunked && f.length >= 0:
		f.ambiguous.Store(true)
		f.part = lost
	case f.chunked:
		f.part = inChunkSize
	case f.length > 0:
		f.part, f.left = inBody, f.length
	default:
		f.end()
	}
}

// end is that of a request.
func (f *framing) end() {
	f.part = inHead
	f.whole++
}
