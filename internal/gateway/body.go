package gateway

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// replayLimit is how much of a request body is kept to repeat an attempt. Requests with a
// larger body are not repeated once more than this was read.
const replayLimit = 64 << 10

var (
	errBodyClosed   = errors.New("gateway: read of a request body after the attempt ended")
	errBodyTooLarge = errors.New("gateway: request body too large")
)

// replayBody reads a caller's body once and serves it to one attempt after the other.
type replayBody struct {
	source  io.Reader
	control *http.ResponseController
	limits  Limits
	empty   bool
	// failed is set when the caller's side of the body failed.
	failed atomic.Bool
	// complete is set when the source reached its end.
	complete atomic.Bool
	// reading is set while a read of the source is in progress.
	reading atomic.Bool

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
	// A read of an ended attempt may still be waiting for the caller; it holds the lock.
	if !b.mu.TryLock() {
		return false
	}
	defer b.mu.Unlock()
	return !b.overflow
}

// interruptRead ends a read that still waits for the caller, so that the connection can be closed.
func (b *replayBody) interruptRead() {
	if b.reading.Load() && b.control != nil {
		_ = b.control.SetReadDeadline(time.Unix(1, 0))
	}
}

// newReader returns a reader of the whole body for one attempt. It is never nil or http.NoBody,
// so that net/http does not send a request again on its own.
func (b *replayBody) newReader() *bodyReader { return &bodyReader{body: b} }

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
		// The server watches the connection for a caller that leaves once the body is read;
		// a deadline that stays set would look like one. After an error the deadline stays, so
		// that the server does not wait for the rest of the body.
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
