package standin

import (
	"bytes"
	"io"
)

// ResponseBody is the body that a target sends for a request: the request's id and a line feed,
// repeated up to the size. A caller can compute it and so check that an answer is whole and
// its own.
type ResponseBody struct {
	pattern       []byte
	patternOffset int
	remaining     int64
}

// minPatternBytes is the least size of the repeated block, so that large answers are copied in
// few steps.
const minPatternBytes = 4 << 10

// NewResponseBody returns a reader of the answer of size bytes to a request.
func NewResponseBody(id string, size int64) *ResponseBody {
	line := []byte(id + "\n")
	return &ResponseBody{pattern: bytes.Repeat(line, max(1, minPatternBytes/len(line))), remaining: size}
}

// Read implements io.Reader.
func (a *ResponseBody) Read(p []byte) (int, error) {
	if a.remaining <= 0 {
		return 0, io.EOF
	}
	n := copy(p[:min(int64(len(p)), a.remaining)], a.pattern[a.patternOffset:])
	a.patternOffset = (a.patternOffset + n) % len(a.pattern)
	a.remaining -= int64(n)
	return n, nil
}
