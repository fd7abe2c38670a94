package ledger

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"github.com/oleanderbend/oleanderbend/internal/boottime"
)

// Limits of a writer.
const (
	// appendTimeout is the timeout of the first attempt of an append. The log responds within a few
	// milliseconds, or within a few hundred when it is slow. Each retry has twice the timeout, up to
	// maxAppendTimeout, because each attempt that times out stays in the queue of a slow log.
	appendTimeout    = 800 * time.Millisecond
	maxAppendTimeout = 2 * time.Second
	// appendRetryInterval is the pause before an append is retried.
	appendRetryInterval = 60 * time.Millisecond
	// defaultQueueLimit is the queue length for writes that callers wait for; further writes fail with
	// ErrUnavailable. A log that handles several hundred appends per second empties the queue within a
	// few seconds even with one append per write; batches take less.
	defaultQueueLimit = 2048
	// maxBatchRecords is the number of records after which no further write is added to an append.
	maxBatchRecords = 400
	// maxBatchBytes is the maximum size of an append of several writes, so that it stays below the
	// platform's size limit of a call. A larger write is sent alone; see Split.
	maxBatchBytes = 1 << 20
	// maxPartBytes is the size of a part that Split makes of a write: small enough that other writes are appended with it.
	maxPartBytes = maxBatchBytes / 4
	// maxQueueTime is the age above which a queued write is not sent but fails with ErrUnavailable, so
	// that callers learn of an outage well before their deadlines.
	maxQueueTime = 700 * time.Millisecond
)

// Writer appends records of several callers to one topic. It retries an append whose outcome is unknown
// with the same sequence number, so that it takes effect at most once, and exactly once if it succeeds.
type Writer struct {
	cfg   WriterConfig
	queue chan *queuedWrite
	// next is the write before those in queue, or nil: it did not fit into the last batch. Only Run uses
	// it.
	next *queuedWrite
	// sequence is the sequence number of the next append.
	sequence int64
}

// WriterConfig describes a writer.
type WriterConfig struct {
	Log   Log
	Topic string
	// Producer is the producer name of the appends. The name or the epoch must differ between
	// incarnations of the process.
	Producer string
	Epoch    int64
	// RetryUntilStored makes the writer retry appends while the log is unavailable. Otherwise a write
	// fails with ErrUnavailable if the log is unavailable or if the write waited too long in the queue.
	// In both modes, an append whose outcome is unknown is retried, and ErrRejected and ErrFenced end the
	// retries.
	RetryUntilStored bool
	// QueueLimit is the maximum number of queued writes; 0 means defaultQueueLimit.
	QueueLimit int
	Logger     *log.Logger
}

// queuedWrite is a write that waits to be sent. Run calls its done function with the outcome.
type queuedWrite struct {
	records  []Record
	queuedAt time.Time
	done     func(error)
	// claimed is set by Run when it takes the write, or by the caller that gives it up before that.
	claimed atomic.Bool
}

// claim reports whether the caller of claim is the first.
func (q *queuedWrite) claim() bool { return q.claimed.CompareAndSwap(false, true) }

// NewWriter returns a writer that starts to send when Run is called.
func NewWriter(cfg WriterConfig) *Writer {
	limit := cfg.QueueLimit
	if limit == 0 {
		limit = defaultQueueLimit
	}
	return &Writer{cfg: cfg, queue: make(chan *queuedWrite, limit)}
}

// Fence registers the producer's epoch at the log with an empty append and returns the offset at which
// the topic ends. From then on, the log rejects the producer's appends with lower epochs. If used, Fence
// must be called before Run. Fence makes one attempt and returns the errors of Log.Append.
func (w *Writer) Fence(ctx context.Context) (int64, error) {
	callCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	result, err := w.cfg.Log.Append(callCtx, w.newAppend(nil))
	if err != nil {
		return 0, eris.Wrap(err, "register the producer's epoch at the log")
	}
	w.sequence++
	return result.End, nil
}

// Write appends records and returns when they are stored. It returns the errors of Storer. ErrUnavailable also means
// that the records were still queued, behind an append without an outcome, at the end of ctx or after maxQueueTime
// (unless RetryUntilStored is set). ErrUnknownOutcome means that ctx or the context of Run ended while the records were
// being sent; they may still be stored later.
func (w *Writer) Write(ctx context.Context, records []Record) error {
	outcome := make(chan error, 1)
	item := &queuedWrite{records: records, queuedAt: time.Now(), done: func(err error) { outcome <- err }}
	if !w.enqueue(item) {
		return eris.Wrap(ErrUnavailable, "write queue full")
	}
	var queueTimeout <-chan time.Time
	if !w.cfg.RetryUntilStored {
		timer := time.NewTimer(maxQueueTime)
		defer timer.Stop()
		queueTimeout = timer.C
	}
	for {
		select {
		case err := <-outcome:
			return err
		case <-queueTimeout:
			if item.claim() {
				return errQueuedTooLong()
			}
			queueTimeout = nil
		case <-ctx.Done():
			if item.claim() {
				return eris.Wrap(ErrUnavailable, "context ended before the write was sent")
			}
			return eris.Wrap(ErrUnknownOutcome, "context ended before the log responded")
		}
	}
}

func errQueuedTooLong() error { return eris.Wrap(ErrUnavailable, "write waited too long in the queue") }

// Enqueue queues records behind those of earlier calls. Run calls done with the outcome; done must not
// block. If the queue is full, Enqueue returns false and done is not called. It is not called either for
// writes that are still queued when Run returns.
func (w *Writer) Enqueue(records []Record, done func(error)) bool {
	return w.enqueue(&queuedWrite{records: records, queuedAt: time.Now(), done: done})
}

func (w *Writer) enqueue(item *queuedWrite) bool {
	select {
	case w.queue <- item:
		return true
	default:
		return false
	}
}

// Run sends queued writes. It returns nil when ctx is done, ErrFenced when the writer is fenced or when
// it can no longer retry an append safely. With RetryUntilStored it returns ErrRejected when the log rejects even an append
// without records, or rejects an append after an attempt without a response. A write that the log rejects fails alone: the writes that were to be appended with it are sent again without it.
func (w *Writer) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		first := w.next
		if first == nil {
			select {
			case <-ctx.Done():
				return nil
			case first = <-w.queue:
			}
		}
		batch := w.collect(first)
		if len(batch) == 0 {
			continue
		}
		if err := w.sendBatch(ctx, batch); err != nil {
			return err
		}
	}
	return nil
}

// sendBatch sends a batch and calls the done functions of its writes. If the log rejects the batch, it sends each write alone.
// It returns ErrFenced or ErrRejected if the writer can send nothing more.
func (w *Writer) sendBatch(ctx context.Context, batch []*queuedWrite) error {
	unconfirmed, err := w.send(ctx, batch)
	if errors.Is(err, ErrRejected) && len(batch) > 1 && !unconfirmed {
		for i := range batch {
			if err := w.sendBatch(ctx, batch[i:i+1]); err != nil {
				for _, item := range batch[i+1:] {
					item.done(err)
				}
				return err
			}
		}
		return nil
	}
	var failed error
	switch {
	case !errors.Is(err, ErrRejected) || !w.cfg.RetryUntilStored:
	case unconfirmed:
		// An earlier attempt may still take effect, and the log would take the next append for a repetition of it.
		failed = eris.Wrap(err, "append rejected after an attempt without a response")
	default:
		failed = w.checkRejection(ctx, batch, err)
	}
	for _, item := range batch {
		item.done(err)
	}
	if errors.Is(err, ErrFenced) {
		return err
	}
	return failed
}

// checkRejection determines whether the log rejects only this batch, by an append without records. It returns an error if the
// log rejects that as well, or if the writer is fenced.
func (w *Writer) checkRejection(ctx context.Context, batch []*queuedWrite, rejection error) error {
	records, bytes := 0, 0
	for _, item := range batch {
		records += len(item.records)
		bytes += recordBytes(item.records)
	}
	w.cfg.Logger.Error().Str("topic", w.cfg.Topic).Int("records", records).Int("bytes", bytes).Str("first", batch[0].firstKey()).
		Err(rejection).Msg("log rejected a write")
	if _, err := w.send(ctx, nil); errors.Is(err, ErrRejected) || errors.Is(err, ErrFenced) {
		return eris.Wrap(err, "log rejects all writes")
	}
	return nil
}

// firstKey returns the key of the first record, for the log.
func (q *queuedWrite) firstKey() string {
	if len(q.records) == 0 {
		return ""
	}
	return q.records[0].Key
}

// collect returns a batch of the first write and the writes queued behind it, and sets next. Writes that
// have waited too long fail with ErrUnavailable: they are certainly not stored, because no part of them
// was sent.
func (w *Writer) collect(first *queuedWrite) []*queuedWrite {
	var batch []*queuedWrite
	count, bytes := 0, 0
	w.next = nil
	for item := first; item != nil; {
		size := recordBytes(item.records)
		switch {
		case !w.cfg.RetryUntilStored && time.Since(item.queuedAt) > maxQueueTime:
			if item.claim() {
				item.done(errQueuedTooLong())
			}
		case len(batch) > 0 && bytes+size > maxBatchBytes:
			w.next = item
			return batch
		case !item.claim():
			// The caller has given it up.
		default:
			batch = append(batch, item)
			count += len(item.records)
			bytes += size
		}
		item = nil
		if count < maxBatchRecords {
			select {
			case item = <-w.queue:
			default:
			}
		}
	}
	return batch
}

// Split divides records whose number the caller does not limit into parts that are written one by one, in the same order. Each
// part fits into one append unless a single record does not.
func Split(records []Record) [][]Record {
	var parts [][]Record
	first, bytes := 0, 0
	for i := range records {
		size := recordBytes(records[i : i+1])
		if i > first && (i-first == maxBatchRecords || bytes+size > maxPartBytes) {
			parts = append(parts, records[first:i])
			first, bytes = i, 0
		}
		bytes += size
	}
	if first < len(records) {
		parts = append(parts, records[first:])
	}
	return parts
}

// recordOverhead is an upper bound of the size of the lengths that the log adds to a record.
const recordOverhead = 8

// recordBytes returns the total size of records.
func recordBytes(records []Record) int {
	total := 0
	for _, r := range records {
		total += recordOverhead + len(r.Key) + len(r.Value)
	}
	return total
}

// send appends a batch. Once the outcome of an attempt is unknown, the batch is retried until the log has
// accepted its sequence number: that a later attempt had no effect does not show that the first had none.
// ErrFenced, ErrRejected and an unexpected sequence number end the retries nevertheless; the records may
// then be stored although the error does not say so. That is only possible if unconfirmed is true.
func (w *Writer) send(ctx context.Context, batch []*queuedWrite) (unconfirmed bool, err error) {
	var records []Record
	for _, item := range batch {
		records = append(records, item.records...)
	}
	for timeout := appendTimeout; ; timeout = min(2*timeout, maxAppendTimeout) {
		callCtx, cancel := context.WithTimeout(ctx, timeout)
		_, err := w.cfg.Log.Append(callCtx, w.newAppend(records))
		cancel()
		var seq *SequenceError
		switch {
		case err == nil:
			w.sequence++
			return unconfirmed, nil
		case errors.As(err, &seq) && seq.Expected == w.sequence+1 && unconfirmed:
			w.sequence++
			return unconfirmed, nil
		case errors.As(err, &seq) && unconfirmed:
			// A retry with another sequence number could store the batch a second time. ErrFenced makes
			// Run return; it is unknown whether the batch is stored.
			return unconfirmed, eris.Wrap(ErrFenced, err.Error())
		case errors.As(err, &seq):
			w.cfg.Logger.Error().Int64("sequence", w.sequence).Int64("expected", seq.Expected).Msg("log expects another sequence number; continuing with that number")
			w.sequence = seq.Expected
		case errors.Is(err, ErrFenced), errors.Is(err, ErrRejected):
			return unconfirmed, err
		case errors.Is(err, ErrUnavailable) && !unconfirmed && !w.cfg.RetryUntilStored:
			return unconfirmed, err
		case errors.Is(err, ErrUnavailable):
			// This attempt had no effect: retry.
		default:
			if !unconfirmed {
				w.cfg.Logger.Warn().Str("topic", w.cfg.Topic).Int64("sequence", w.sequence).Err(err).
					Msg("outcome of the append unknown; retrying")
			}
			unconfirmed = true
		}
		boottime.Sleep(ctx, appendRetryInterval)
		if ctx.Err() != nil {
			return unconfirmed, eris.Wrap(ErrUnknownOutcome, "writer stopped before the log responded")
		}
	}
}

// newAppend returns the append of records with the next sequence number.
func (w *Writer) newAppend(records []Record) Append {
	return Append{
		Topic: w.cfg.Topic, Records: records, ExpectedEnd: AnyEnd,
		Producer: w.cfg.Producer, Epoch: w.cfg.Epoch, Sequence: w.sequence,
	}
}
