package ledger

import (
	"context"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/boottime"
)

const (
	// readTimeout is the timeout of the first request of a scan, and of a read in addition to its wait.
	// A slow log takes a few hundred milliseconds to respond; after this time the connection is
	// considered dead. A request that times out doubles the timeout for the rest of the scan, up to
	// maxPageTimeout.
	readTimeout = 1200 * time.Millisecond
	// maxPageTimeout is the longest timeout of a request for a page. When all instances restart
	// at once, their reads share the log's bandwidth and a page takes seconds; with a shorter timeout the
	// log would send the same page repeatedly. With a longer one, an instance would wait for the
	// response to a request sent during an outage although the log is available again.
	maxPageTimeout = 3 * time.Second
)

// Scan reads the latest records of a topic, page by page. A page that failed is requested again, without
// the pages before it.
type Scan struct {
	log     Log
	topic   string
	timeout time.Duration
	after   string

	// Entries are the records read so far, ordered by key.
	Entries []Entry
	// End is the offset at which the topic ended when the first page was read, or -1 before that. The
	// pages together are not a snapshot, so reading must continue at End to include the changes made
	// during the scan.
	End int64
	// StartedAt is the time of the last request for the first page.
	StartedAt boottime.Instant
}

// NewScan returns a scan of a topic. It makes no request until Step is called.
func NewScan(log Log, topic string) *Scan {
	return &Scan{log: log, topic: topic, timeout: readTimeout, End: -1}
}

// Step reads the next page and reports whether it was the last one. After an error, the next call
// requests the same page again. It returns the errors of Log.Latest.
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
	if n := len(page.Entries); n > 0 && s.after != "" && page.Entries[n-1].Key == s.after {
		// The last key was not transferred as it is, because it is not text, so the log cannot continue behind it.
		return true, nil
	}
	s.Entries = append(s.Entries, page.Entries...)
	if !page.More || len(page.Entries) == 0 {
		return true, nil
	}
	s.after = page.Entries[len(page.Entries)-1].Key
	return false, nil
}
