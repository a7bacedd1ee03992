package node

import (
	"bytes"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// framing follows where requests begin and end on a client's connection, and detects those that have both a Content-Length
// and a Transfer-Encoding. net/http drops the Content-Length of such a request. The sender may have meant the body to end
// elsewhere, and bytes that net/http would take for the next request to be part of that body (request smuggling).
type framing struct {
	ambiguous atomic.Bool  // a request with both headers has come
	requests  atomic.Int64 // number of requests of which at least one byte has come
	headBegan atomic.Int64 // when the first byte of the last of these requests came, in Unix nanoseconds

	part             framingPart
	line             []byte // the bytes of the current line so far, at most maxHeaderLine
	headBytes        int    // bytes of the current head so far
	headFields       int    // fields of the current head so far
	remaining        int64  // bytes left of the current body or chunk, including the line end after a chunk
	length           int64  // the Content-Length of the current head, or -1 if it has none
	chunked          bool
	headStarted      bool  // the current head's first line has come
	requestCounted   bool  // a byte of the current head's first line has come, so the request is counted in requests
	completeRequests int64 // number of requests that have come in full
}

// framingPart is a part of an HTTP/1.1 request.
type framingPart int

const (
	inHead framingPart = iota
	inBody
	inChunkSize
	inChunk
	inTrailer
	unparsable // net/http rejects the request and closes the connection, so framing stops here
)

const maxHeaderLine = 128 // bytes kept of a line: no header that matters here is longer

// observe follows the framing over the next bytes that have been read from the connection.
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
		line, rest, complete := bytes.Cut(p, []byte("\n"))
		if f.part == inHead && !f.requestCounted && len(bytes.Trim(line, "\r")) > 0 {
			f.requestCounted = true
			f.headBytes, f.headFields = 0, 0
			f.headBegan.Store(time.Now().UnixNano())
			f.requests.Add(1)
		}
		if f.part == inHead {
			f.headBytes += len(p) - len(rest)
		}
		f.line = append(f.line, line[:min(len(line), max(0, maxHeaderLine-len(f.line)))]...)
		if p = rest; complete {
			f.handleLine(strings.TrimSuffix(string(f.line), "\r"))
			f.line = f.line[:0]
		}
	}
}

// handleLine follows the framing over one line of a head, a chunk size or a trailer.
func (f *framing) handleLine(line string) {
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
			f.handleHeaderLine(line)
		} else if f.headStarted { // net/http ignores empty lines before a request
			f.endHead()
		}
	}
}

// handleHeaderLine handles the first line of a head, or one of its headers.
func (f *framing) handleHeaderLine(line string) {
	if !f.headStarted {
		f.headStarted = true
		f.length = -1
		f.chunked = false
		return
	}
	f.headFields++
	name, value, _ := strings.Cut(line, ":")
	switch {
	case strings.EqualFold(name, "Content-Length"):
		n, err := strconv.ParseInt(strings.TrimSpace(value), 10, 63)
		if err != nil {
			n = 0 // net/http rejects the request
		}
		f.length = n
	case strings.EqualFold(name, "Transfer-Encoding"):
		f.chunked = true
	}
}

// endHead chooses what follows the head that has just ended.
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

// endRequest counts a request that has come in full. The next byte belongs to the head of another one.
func (f *framing) endRequest() {
	f.part = inHead
	f.completeRequests++
}
