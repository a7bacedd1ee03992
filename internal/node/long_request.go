package node

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
)

// This file has the writing of a request with a long body. http.Request.Write takes a buffer of 32 KiB for each such request.

// maxChunkPrefix is the length of the longest chunk size with its line end.
const maxChunkPrefix = len("ffffffff\r\n")

// errHeadOnly ends http.Request.Write after the head.
var errHeadOnly = errors.New("only the head is written")

// writeLongRequest writes a request's head and then its body, in pieces of up to the size of buf and in chunks if the length of
// the body is not known.
func writeLongRequest(w io.Writer, req *http.Request, body io.Reader, buf []byte) error {
	head, err := headText(req)
	if err != nil {
		return err
	}
	if _, err := w.Write(head); err != nil {
		return err
	}
	isChunked := req.ContentLength < 0
	remaining := req.ContentLength
	for err == nil {
		var n int
		n, err = body.Read(buf[maxChunkPrefix : len(buf)-len("\r\n")])
		if remaining -= int64(n); remaining == 0 && err == nil {
			_, err = body.Read(make([]byte, 1)) // the last bytes are only written once it is known that the client has not left
			if err == nil {
				err = io.ErrNoProgress
			}
			if err != io.EOF {
				return err
			}
		}
		if n > 0 {
			if _, writeErr := w.Write(piece(buf, n, isChunked)); writeErr != nil {
				return writeErr
			}
		}
	}
	if err != io.EOF {
		return err
	}
	if isChunked {
		_, err = io.WriteString(w, "0\r\n\r\n")
		return err
	}
	return nil
}

// piece returns the n bytes of a body that are in buf after maxChunkPrefix, as a chunk or as they are.
func piece(buf []byte, n int, isChunk bool) []byte {
	end := maxChunkPrefix + n
	if !isChunk {
		return buf[maxChunkPrefix:end]
	}
	prefix := fmt.Sprintf("%x\r\n", n)
	start := maxChunkPrefix - copy(buf[maxChunkPrefix-len(prefix):], prefix)
	return buf[start : end+copy(buf[end:], "\r\n")]
}

// headText returns the head of a request as http.Request.Write writes it.
func headText(req *http.Request) ([]byte, error) {
	withoutBody := *req
	withoutBody.Body = io.NopCloser(readFunc(func([]byte) (int, error) { return 0, errHeadOnly }))
	var text bytes.Buffer
	if err := withoutBody.Write(&text); !bytes.HasSuffix(text.Bytes(), []byte("\r\n\r\n")) { // net/http hides errHeadOnly in its error
		return nil, fmt.Errorf("a head can't be written: %w", err)
	}
	return text.Bytes(), nil
}
