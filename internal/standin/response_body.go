package standin

import (
	"bytes"
	"io"
)

// ResponseBody reads the body that a target sends for a request: the request's id and a line
// feed, repeated and cut off at the requested size. A caller can compute the same body and so
// check that a response is complete and belongs to its request.
type ResponseBody struct {
	pattern       []byte
	patternOffset int
	remaining     int64
}

// patternBytes is the approximate size, in bytes, of the repeated pattern, which consists of whole
// lines. With a pattern of many lines, a large body is copied in few steps.
const patternBytes = 4 << 10

// NewResponseBody returns a reader of the response body of size bytes to the request id.
func NewResponseBody(id string, size int64) *ResponseBody {
	line := []byte(id + "\n")
	return &ResponseBody{pattern: bytes.Repeat(line, max(1, patternBytes/len(line))), remaining: size}
}

// Read implements io.Reader.
func (b *ResponseBody) Read(p []byte) (int, error) {
	if b.remaining <= 0 {
		return 0, io.EOF
	}
	n := copy(p[:min(int64(len(p)), b.remaining)], b.pattern[b.patternOffset:])
	b.patternOffset = (b.patternOffset + n) % len(b.pattern)
	b.remaining -= int64(n)
	return n, nil
}
