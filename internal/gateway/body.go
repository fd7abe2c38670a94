package gateway

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// replayLimit is how many bytes of a request body are buffered for retries. A request is not
// retried if more than this of its body has been read.
const replayLimit = 64 << 10

var (
	errBodyClosed   = errors.New("gateway: request body read after the attempt ended")
	errBodyTooLarge = errors.New("gateway: request body too large")
)

// replayBody reads the body of a caller's request once and provides it to successive attempts.
type replayBody struct {
	source  io.Reader
	control *http.ResponseController
	limits  Limits
	empty   bool
	// failed is set when reading from the caller failed or the body was too large.
	failed atomic.Bool
	// complete is set when the end of the source was reached.
	complete atomic.Bool
	// reading is set while a read of the source is in progress.
	reading atomic.Bool

	// mu guards the fields below and is held during a read of the source.
	mu        sync.Mutex
	buffered  []byte
	bytesRead int64
	overflow  bool
	err       error
}

func newReplayBody(source io.Reader, length int64, control *http.ResponseController, limits Limits) *replayBody {
	b := &replayBody{source: source, control: control, limits: limits}
	if length == 0 || source == nil || source == http.NoBody {
		b.empty = true
		b.err = io.EOF
		b.complete.Store(true)
	}
	return b
}

// canReplay reports whether a new attempt can read the body from its beginning.
func (b *replayBody) canReplay() bool {
	if b.empty {
		return true
	}
	if b.failed.Load() {
		return false
	}
	// A read by an earlier attempt may still hold the lock while it waits for the caller.
	if !b.mu.TryLock() {
		return false
	}
	defer b.mu.Unlock()
	return !b.overflow
}

// interruptRead ends a read that is waiting for the caller, so that the connection can be closed.
func (b *replayBody) interruptRead() {
	if b.reading.Load() && b.control != nil {
		// A deadline in the past ends the read at once.
		_ = b.control.SetReadDeadline(time.Unix(1, 0))
	}
}

// newReader returns a reader of the whole body for one attempt. It is never nil or http.NoBody,
// because net/http may resend a request that has no body without being asked to.
func (b *replayBody) newReader() *bodyReader { return &bodyReader{body: b} }

// bodyReader reads the body for one attempt.
type bodyReader struct {
	body   *replayBody
	offset int
	closed atomic.Bool
}

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	b := r.body
	if r.closed.Load() {
		return 0, errBodyClosed
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.closed.Load() {
		return 0, errBodyClosed
	}
	if r.offset < len(b.buffered) && !b.overflow {
		n := copy(p, b.buffered[r.offset:])
		r.offset += n
		return n, nil
	}
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.readSource(p)
	r.offset += n
	return n, err
}

func (b *replayBody) readSource(p []byte) (int, error) {
	if b.control != nil {
		_ = b.control.SetReadDeadline(time.Now().Add(b.limits.ReadIdle))
	}
	b.reading.Store(true)
	n, err := b.source.Read(p)
	b.reading.Store(false)
	if b.control != nil && errors.Is(err, io.EOF) {
		// Once the body is read, the server reads from the connection to detect that the caller
		// disconnects, and would mistake an expired read deadline for a disconnect. After an error
		// the deadline stays set, so that the server does not wait for the rest of the body.
		_ = b.control.SetReadDeadline(time.Time{})
	}
	b.bytesRead += int64(n)
	if b.bytesRead > b.limits.BodyBytes {
		err = errBodyTooLarge
	}
	if b.bytesRead > replayLimit {
		b.overflow, b.buffered = true, nil
	} else {
		b.buffered = append(b.buffered, p[:n]...)
	}
	b.err = err
	if errors.Is(err, io.EOF) {
		b.complete.Store(true)
	} else if err != nil {
		b.failed.Store(true)
	}
	return n, err
}

// Close implements io.Closer. It does not wait for a read in progress.
func (r *bodyReader) Close() error {
	r.closed.Store(true)
	return nil
}
