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
	// appendTimeout bounds the first try of an append. An answer of the log takes some
	// milliseconds, some hundred when it is slow; each further try may take twice as long, so
	// that repeats do not add to the queue of a slow log.
	appendTimeout    = 800 * time.Millisecond
	maxAppendTimeout = 2 * time.Second
	// appendRetryInterval is the pause before an append is repeated.
	appendRetryInterval = 60 * time.Millisecond
	// defaultQueueLimit suits writes of callers, who are refused beyond it: some seconds of a
	// log that takes several hundred appends a second.
	defaultQueueLimit = 2048
	// maxBatchRecords bounds the records of one append.
	maxBatchRecords = 400
	// maxBatchBytes keeps an append under the platform's limit of bytes for a call.
	maxBatchBytes = 1 << 20
	// maxQueueTime is how long a write may wait to be sent before it is refused, so that
	// callers hear of an outage well before their deadlines.
	maxQueueTime = 700 * time.Millisecond
)

// Writer appends records of several callers to one topic. Each append is repeated under its
// sequence number until its outcome is known, so that it takes effect exactly once.
type Writer struct {
	cfg      WriterConfig
	queue    chan *queuedWrite
	sequence int64
}

// WriterConfig describes a writer.
type WriterConfig struct {
	Log   Log
	Topic string
	// Producer must be unique to this life of the process, unless its epochs are.
	Producer string
	Epoch    int64
	// RetryUntilStored repeats appends that the log refused. Otherwise their callers get ErrUnavailable.
	RetryUntilStored bool
	// QueueLimit is how many writes may wait; 0 for a limit that suits writes of callers.
	QueueLimit int
	Logger     *log.Logger
}

type queuedWrite struct {
	records  []Record
	queuedAt time.Time
	done     func(error)
}

// NewWriter returns a writer; Run starts it.
func NewWriter(cfg WriterConfig) *Writer {
	limit := cfg.QueueLimit
	if limit == 0 {
		limit = defaultQueueLimit
	}
	return &Writer{cfg: cfg, queue: make(chan *queuedWrite, limit)}
}

// Fence sets the producer's epoch at the log without adding a record, and returns the end of
// the topic. Appends of lower epochs are refused from then on.
func (w *Writer) Fence(ctx context.Context) (int64, error) {
	callCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	result, err := w.cfg.Log.Append(callCtx, w.newAppend(nil))
	if err != nil {
		return 0, eris.Wrap(err, "set the producer's epoch")
	}
	w.sequence++
	return result.End, nil
}

// Write adds records and returns when they are stored. It returns ErrUnavailable if they
// certainly are not, and ErrUnknown if ctx ended first; they may then still be stored.
func (w *Writer) Write(ctx context.Context, records []Record) error {
	outcome := make(chan error, 1)
	if !w.Enqueue(records, func(err error) { outcome <- err }) {
		return eris.Wrap(ErrUnavailable, "too many writes wait")
	}
	select {
	case err := <-outcome:
		return err
	case <-ctx.Done():
		return eris.Wrap(ErrUnknownOutcome, "deadline reached")
	}
}

// Enqueue adds records behind those of earlier calls and reports their outcome to done, which
// must not block. It returns false, and takes nothing, if too many writes wait.
func (w *Writer) Enqueue(records []Record, done func(error)) bool {
	select {
	case w.queue <- &queuedWrite{records: records, queuedAt: time.Now(), done: done}:
		return true
	default:
		return false
	}
}

// Run sends writes until ctx is done or the writer is fenced; it returns ErrFenced then.
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

// collect adds to the first write those that wait behind it. Writes that have waited too long
// are refused: none of their bytes has left the process.
func (w *Writer) collect(first *queuedWrite) []*queuedWrite {
	var batch []*queuedWrite
	count, bytes := 0, 0
	for item := first; item != nil; {
		if !w.cfg.RetryUntilStored && time.Since(item.queuedAt) > maxQueueTime {
			item.done(eris.Wrap(ErrUnavailable, "the log is not answering"))
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

func recordBytes(records []Record) int {
	total := 0
	for _, r := range records {
		total += len(r.Key) + len(r.Value)
	}
	return total
}

// send appends a batch. Once an attempt is without an answer, a later refusal says nothing
// about it, so the batch is repeated until the log knows its sequence.
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
			// Another number could store the batch a second time.
			return eris.Wrap(ErrFenced, err.Error())
		case errors.As(err, &seq):
			w.cfg.Logger.Error().Int64("sequence", w.sequence).Int64("expected", seq.Expected).Msg("sequence out of step")
			w.sequence = seq.Expected
		case errors.Is(err, ErrFenced), errors.Is(err, ErrRejected):
			return err
		case errors.Is(err, ErrUnavailable) && !unconfirmed && !w.cfg.RetryUntilStored:
			return err
		case errors.Is(err, ErrUnavailable):
		default:
			if !unconfirmed {
				w.cfg.Logger.Warn().Str("topic", w.cfg.Topic).Int64("sequence", w.sequence).Err(err).
					Msg("append without an answer, repeating")
			}
			unconfirmed = true
		}
		boottime.Sleep(ctx, appendRetryInterval)
		if ctx.Err() != nil {
			return eris.Wrap(ErrUnknownOutcome, "stopped")
		}
	}
}

func (w *Writer) newAppend(records []Record) Append {
	return Append{
		Topic: w.cfg.Topic, Records: records, ExpectedEnd: AnyEnd,
		Producer: w.cfg.Producer, Epoch: w.cfg.Epoch, Sequence: w.sequence,
	}
}
