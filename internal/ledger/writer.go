package ledger

import (
	"context"
	"errors"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"github.com/oleanderbend/oleanderbend/internal/boottime"
)

// Limits of a writer.
const (
	// appendTimeout is the timeout of the first attempt of an append. The log responds within a few
	// milliseconds, or within a few hundred when it is slow. Each retry has twice the timeout, up to
	// maxAppendTimeout, so that retries do not lengthen the queue of a slow log.
	appendTimeout    = 800 * time.Millisecond
	maxAppendTimeout = 2 * time.Second
	// appendRetryInterval is the pause before an append is retried.
	appendRetryInterval = 60 * time.Millisecond
	// defaultQueueLimit is the queue length for writes that callers wait for; further writes are
	// rejected. A log that handles several hundred appends per second needs a few seconds for it.
	defaultQueueLimit = 2048
	// maxBatchRecords is the number of records after which no further write is added to an append.
	maxBatchRecords = 400
	// maxBatchBytes is the size after which no further write is added to an append, so that it stays
	// below the platform's size limit of a call.
	maxBatchBytes = 1 << 20
	// maxQueueTime is how long a write may wait in the queue before it is rejected, so that callers
	// learn of an outage well before their deadlines.
	maxQueueTime = 700 * time.Millisecond
)

// Writer appends records of several callers to one topic. It retries each append with the same
// sequence number until its outcome is known, so that the append takes effect exactly once.
type Writer struct {
	cfg   WriterConfig
	queue chan *queuedWrite
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
	RetryUntilStored bool
	// QueueLimit is the maximum number of queued writes; 0 means defaultQueueLimit.
	QueueLimit int
	Logger     *log.Logger
}

// queuedWrite is a write that waits to be sent. Its done function is called with the outcome.
type queuedWrite struct {
	records  []Record
	queuedAt time.Time
	done     func(error)
}

// NewWriter returns a writer that starts to send when Run is called.
func NewWriter(cfg WriterConfig) *Writer {
	limit := cfg.QueueLimit
	if limit == 0 {
		limit = defaultQueueLimit
	}
	return &Writer{cfg: cfg, queue: make(chan *queuedWrite, limit)}
}

// Fence registers the producer's epoch at the log with an empty append and returns the offset at which
// the topic ends. From then on, the log rejects the producer's appends with lower epochs. Fence must be
// called before Run. It returns the errors of Log.Append.
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

// Write appends records and returns when they are stored. It returns ErrUnavailable if they are
// certainly not stored, and ErrUnknownOutcome if ctx ended first, in which case they may still be
// stored later.
func (w *Writer) Write(ctx context.Context, records []Record) error {
	outcome := make(chan error, 1)
	if !w.Enqueue(records, func(err error) { outcome <- err }) {
		return eris.Wrap(ErrUnavailable, "write queue full")
	}
	select {
	case err := <-outcome:
		return err
	case <-ctx.Done():
		return eris.Wrap(ErrUnknownOutcome, "context ended before the log responded")
	}
}

// Enqueue queues records behind those of earlier calls. It calls done with the outcome; done must not
// block. If the queue is full, Enqueue returns false and does not call done.
func (w *Writer) Enqueue(records []Record, done func(error)) bool {
	select {
	case w.queue <- &queuedWrite{records: records, queuedAt: time.Now(), done: done}:
		return true
	default:
		return false
	}
}

// Run sends queued writes until ctx is done, when it returns nil, or until the writer is fenced, when it
// returns ErrFenced.
func (w *Writer) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case first := <-w.queue:
			batch := w.collect(first)
			if len(batch) == 0 {
				continue
			}
			err := w.send(ctx, batch)
			for _, item := range batch {
				item.done(err)
			}
			if errors.Is(err, ErrFenced) {
				return err
			}
		}
	}
}

// collect returns a batch of the first write and the writes queued behind it. Writes that have waited
// too long fail with ErrUnavailable, which is certain because nothing of them has been sent.
func (w *Writer) collect(first *queuedWrite) []*queuedWrite {
	var batch []*queuedWrite
	count, bytes := 0, 0
	for item := first; item != nil; {
		if !w.cfg.RetryUntilStored && time.Since(item.queuedAt) > maxQueueTime {
			item.done(eris.Wrap(ErrUnavailable, "write waited too long in the queue"))
		} else {
			batch = append(batch, item)
			count += len(item.records)
			bytes += recordBytes(item.records)
		}
		item = nil
		if count < maxBatchRecords && bytes < maxBatchBytes {
			select {
			case item = <-w.queue:
			default:
			}
		}
	}
	return batch
}

// recordBytes returns the total size of the keys and values of records.
func recordBytes(records []Record) int {
	total := 0
	for _, r := range records {
		total += len(r.Key) + len(r.Value)
	}
	return total
}

// send appends a batch. Once an attempt got no response, its outcome is unknown, and the failure of a
// later attempt does not settle it. The batch is then retried until the log has accepted its sequence
// number.
func (w *Writer) send(ctx context.Context, batch []*queuedWrite) error {
	var records []Record
	for _, item := range batch {
		records = append(records, item.records...)
	}
	unconfirmed := false
	for timeout := appendTimeout; ; timeout = min(2*timeout, maxAppendTimeout) {
		callCtx, cancel := context.WithTimeout(ctx, timeout)
		_, err := w.cfg.Log.Append(callCtx, w.newAppend(records))
		cancel()
		var seq *SequenceError
		switch {
		case err == nil:
			w.sequence++
			return nil
		case errors.As(err, &seq) && seq.Expected == w.sequence+1 && unconfirmed:
			w.sequence++
			return nil
		case errors.As(err, &seq) && unconfirmed:
			// A retry with another sequence number could store the batch a second time.
			return eris.Wrap(ErrFenced, err.Error())
		case errors.As(err, &seq):
			w.cfg.Logger.Error().Int64("sequence", w.sequence).Int64("expected", seq.Expected).Msg("log expects another sequence number; using it")
			w.sequence = seq.Expected
		case errors.Is(err, ErrFenced), errors.Is(err, ErrRejected):
			return err
		case errors.Is(err, ErrUnavailable) && !unconfirmed && !w.cfg.RetryUntilStored:
			return err
		case errors.Is(err, ErrUnavailable):
		default:
			if !unconfirmed {
				w.cfg.Logger.Warn().Str("topic", w.cfg.Topic).Int64("sequence", w.sequence).Err(err).
					Msg("append got no response; retrying")
			}
			unconfirmed = true
		}
		boottime.Sleep(ctx, appendRetryInterval)
		if ctx.Err() != nil {
			return eris.Wrap(ErrUnknownOutcome, "stopped")
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
