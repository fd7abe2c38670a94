package ledger

import (
	"context"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/boottime"
)

const (
	// readTimeout bounds the first try of a page, and how long a read may take beyond its wait. A slow
	// log takes some hundred milliseconds; past this the connection counts as silent.
	readTimeout = 1200 * time.Millisecond
	// maxPageTimeout bounds the later tries. After a loss of all instances the reads of all of them
	// share the log's bandwidth, so that a page takes seconds; giving up sooner would make the
	// log send it again and again. Longer, an instance would wait for a page that a silent log
	// never sends while the log is back already.
	maxPageTimeout = 3 * time.Second
)

// Scan reads the newest records of a topic, page by page. A page that fails is read again; the pages
// before it are kept.
type Scan struct {
	log     Log
	topic   string
	timeout time.Duration
	after   string

	// Entries are the records so far, in the order of keys.
	Entries []Entry
	// End is the end of the topic when the first page was read. Pages are no snapshot: following the
	// topic from there replays what changed meanwhile.
	End int64
	// StartedAt is when the first page was asked for.
	StartedAt boottime.Instant
}

// NewScan returns a scan of a topic.
func NewScan(log Log, topic string) *Scan {
	return &Scan{log: log, topic: topic, timeout: readTimeout, End: -1}
}

// Step reads the next page and says whether it was the last. After an error the same page can be tried
// again.
func (s *Scan) Step(ctx context.Context) (done bool, err error) {
	if s.End < 0 {
		s.StartedAt = boottime.Now()
	}
	callCtx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	page, err := s.log.Latest(callCtx, s.topic, s.after)
	if err != nil {
		if callCtx.Err() != nil {
			s.timeout = min(2*s.timeout, maxPageTimeout)
		}
		return false, err
	}
	if s.End < 0 {
		s.End = page.End
	}
	s.Entries = append(s.Entries, page.Entries...)
	if !page.More || len(page.Entries) == 0 {
		return true, nil
	}
	s.after = page.Entries[len(page.Entries)-1].Key
	return false, nil
}
