package clients

import (
	"cmp"
	"container/list"
	"context"
	"errors"
	"io"
	"os"
	"sync"
	"time"
)

const (
	// chunkBytes is the unit in which memory for bodies is acquired. Usual bodies need one or two chunks.
	chunkBytes = 8 << 10
	// minChunks is the smallest budget, 2 MB: enough for one body of 256 KB that is handled.
	minChunks = 256
	// decodeSlots is the number of large bodies that are decoded at the same time. An instance has at most one
	// core, so more would not make decoding faster.
	decodeSlots = 2
	// smallBody is the size in bytes up to which bodies are decoded without a slot, so that usual bodies do
	// not wait behind large ones.
	smallBody = 16 << 10
	// unpacedBodies is the number of incomplete bodies up to which large ones are read without pauses.
	unpacedBodies = 32
	// readCost is about twice the processor time for reading 8 KB in chunks of one byte, on a whole core.
	readCost = time.Millisecond
	// maxPause limits the pause of a large body after each 8 KB.
	maxPause = 2 * time.Second
	// minCores is the smallest processor time, in cores, for which readCost is scaled.
	minCores = 0.1
	// handlingFactor is the memory of a large job that is being stored, relative to its body: the job, its
	// record, and the copy of the record that is sent.
	handlingFactor = 4
)

// Errors of Budget.
var (
	// ErrAbandoned means that there was no memory for a body, now or for what follows.
	ErrAbandoned = errors.New("clients: no memory for the request body")
	// ErrTooLarge means that a body exceeded its size limit.
	ErrTooLarge = errors.New("clients: request body too large")
)

// Budget is the memory for request bodies. It is acquired as bytes arrive. When it is exhausted, the incomplete
// body that has been read for the longest time is abandoned.
type Budget struct {
	refusals *Refusals
	// pause is the pause after reading a chunk of a large body, for each incomplete body beyond unpacedBodies.
	pause time.Duration
	// buffers has one buffer for each decode slot, for the joined chunks of a body.
	buffers chan []byte

	mu sync.Mutex
	// capacity and used count chunks.
	capacity, used int
	// free is chunks that are allocated and not in use.
	free [][]byte
	// incomplete is the bodies (*Body) that are being read, the oldest first.
	incomplete list.List
}

// NewBudget returns a budget of the given number of bytes, for a process with the given processor time in cores; 0
// means one core.
func NewBudget(size int64, cores float64, refusals *Refusals) *Budget {
	b := &Budget{
		refusals: refusals, pause: time.Duration(float64(readCost) / max(minCores, cmp.Or(cores, 1))), buffers: make(chan []byte, decodeSlots),
		capacity: max(int(size/chunkBytes), minChunks),
	}
	for range decodeSlots {
		b.buffers <- nil
	}
	return b
}

// Used returns the memory in use, in bytes.
func (b *Budget) Used() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used * chunkBytes
}

// Body is a request body that was read whole. Release must be called.
type Body struct {
	budget *Budget
	// abandon makes a Read that waits for bytes of the body return at once. It must not block.
	abandon func()
	// The fields below are guarded by the mutex of budget.

	// element is the place in Budget.incomplete; nil if the body is not being read.
	element   *list.Element
	abandoned bool
	chunks    [][]byte
	size      int
	// held is the number of chunks that the body accounts for.
	held int
}

// Read reads a body of at most limit bytes. It returns ErrTooLarge if the body is longer, ErrAbandoned if its
// memory is needed for newer ones, or the error of r, which wraps os.ErrDeadlineExceeded if the body took too long. Abandon is called once at most, from another goroutine and
// before Read returns ErrAbandoned; it must make a waiting read of r return, and must not block.
func (b *Budget) Read(r io.Reader, limit int64, abandon func()) (*Body, error) {
	body := &Body{budget: b, abandon: abandon}
	b.mu.Lock()
	body.element = b.incomplete.PushBack(body)
	b.mu.Unlock()
	for {
		chunk, err := b.grow(body)
		if err != nil {
			return nil, err
		}
		n := 0
		for n < len(chunk) && err == nil {
			var m int
			m, err = r.Read(chunk[n:])
			n += m
		}
		whole, err := b.add(body, chunk[:n], limit, err)
		if err != nil {
			body.Release()
			b.countError(err)
			return nil, err
		}
		if whole {
			return body, nil
		}
		time.Sleep(b.pauseOf(body))
	}
}

// pauseOf returns the pause before a body is read further. Many large bodies in small pieces would otherwise take the
// processor time of all other requests. The first 16 KB of a body are read without pauses.
func (b *Budget) pauseOf(body *Body) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if body.size < smallBody {
		return 0
	}
	return min(maxPause, time.Duration(max(0, b.incomplete.Len()-unpacedBodies))*b.pause)
}

// countError counts the failure to read a body, unless the body was abandoned, which is counted already.
func (b *Budget) countError(err error) {
	switch {
	case errors.Is(err, ErrTooLarge):
		b.refusals.Count(BodySize)
	case errors.Is(err, os.ErrDeadlineExceeded):
		b.refusals.Count(BodyTimeout)
	}
}

// grow accounts for a further chunk of an incomplete body and returns the chunk.
func (b *Budget) grow(body *Body) ([]byte, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.acquireLocked(body, 1) {
		return nil, ErrAbandoned
	}
	last := len(b.free) - 1
	if last < 0 {
		return make([]byte, chunkBytes), nil
	}
	chunk := b.free[last]
	b.free[last], b.free = nil, b.free[:last]
	return chunk, nil
}

// acquireLocked accounts for n further chunks of a body, and abandons incomplete bodies for them as far as needed.
// It returns false if the body itself was abandoned, or if there is no incomplete body left.
func (b *Budget) acquireLocked(body *Body, n int) bool {
	for !body.abandoned && b.used+n > b.capacity && b.incomplete.Len() > 0 {
		if oldest, ok := b.incomplete.Front().Value.(*Body); ok {
			b.abandonLocked(oldest)
		}
	}
	if body.abandoned || b.used+n > b.capacity {
		return false
	}
	b.used += n
	body.held += n
	return true
}

// abandonLocked takes the memory of an incomplete body at once, whenever the goroutine that reads it gets
// processor time. Only the chunk that it is reading into is freed later.
func (b *Budget) abandonLocked(body *Body) {
	body.abandoned = true
	b.releaseLocked(body)
	body.abandon()
	b.refusals.Count(BodyBudget)
}

// add adds a chunk that was read, up to the error or the end in readErr. It reports whether the body is whole.
func (b *Budget) add(body *Body, chunk []byte, limit int64, readErr error) (whole bool, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if body.abandoned {
		return false, ErrAbandoned
	}
	body.chunks = append(body.chunks, chunk)
	body.size += len(chunk)
	switch {
	case int64(body.size) > limit:
		return false, ErrTooLarge
	case readErr == io.EOF:
		b.completeLocked(body)
		return true, nil
	}
	return false, readErr
}

// completeLocked removes a body from those that can be abandoned.
func (b *Budget) completeLocked(body *Body) {
	if body.element != nil {
		b.incomplete.Remove(body.element)
		body.element = nil
	}
}

// releaseLocked ends the account of a body and takes back its chunks.
func (b *Budget) releaseLocked(body *Body) {
	b.completeLocked(body)
	b.used -= body.held
	body.held = 0
	b.reuseLocked(body)
	if b.used == 0 {
		b.free = nil // The memory of a burst goes back to the runtime.
	}
}

func (b *Budget) reuseLocked(body *Body) {
	for _, chunk := range body.chunks {
		b.free = append(b.free, chunk[:chunkBytes])
	}
	body.chunks = nil
}

// Release returns the memory of the body. It may be called more than once.
func (body *Body) Release() {
	body.budget.mu.Lock()
	defer body.budget.mu.Unlock()
	body.budget.releaseLocked(body)
}

// Decode calls decode with the content, which must not be used after decode returns. Only a few large bodies are
// decoded at the same time. Then the content is discarded, and the body accounts until Release for the memory of
// what was decoded. Decode returns the error of decode, or ErrAbandoned if decode was not called before the end
// of ctx or if there is no memory for what was decoded.
func (body *Body) Decode(ctx context.Context, decode func([]byte) error) error {
	if err := body.decode(ctx, decode); err != nil {
		return err
	}
	b := body.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reuseLocked(body)
	// At most half of the budget, so that one body is always served where the operator's limit is high.
	further := max(0, min((handlingFactor-1)*body.held, b.capacity/2-body.held))
	if body.size > smallBody && !b.acquireLocked(body, further) {
		b.refusals.Count(Handling)
		return ErrAbandoned
	}
	return nil
}

func (body *Body) decode(ctx context.Context, decode func([]byte) error) error {
	if body.size <= smallBody {
		return decode(body.appendTo(make([]byte, 0, body.size)))
	}
	select {
	case buffer := <-body.budget.buffers:
		buffer = body.appendTo(buffer[:0])
		defer func() { body.budget.buffers <- buffer }()
		return decode(buffer)
	case <-ctx.Done():
		body.budget.refusals.Count(Handling)
		return ErrAbandoned
	}
}

// appendTo appends the content to a buffer, which it enlarges once at most.
func (body *Body) appendTo(buffer []byte) []byte {
	if cap(buffer) < body.size {
		buffer = make([]byte, 0, body.size)
	}
	for _, chunk := range body.chunks {
		buffer = append(buffer, chunk...)
	}
	return buffer
}
