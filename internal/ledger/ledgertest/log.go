// Package ledgertest has a stand-in of the platform's log in memory, with its conditions and
// with faults that tests set.
package ledgertest

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/oleanderbend/oleanderbend/internal/ledger"
)

// pageSize is the number of records of a page of newest records.
const pageSize = 500

// Log is a log in memory. Client returns the view of one instance.
type Log struct {
	mu     sync.Mutex
	topics map[string]*topic
	// Latency is the time that an answer takes.
	Latency time.Duration
	random  *rand.Rand
}

type topic struct {
	entries []ledger.Entry
	first   int64
	end     int64
	newest  map[string]ledger.Entry
	writers map[string]*producer
	changed chan struct{}
}

type producer struct {
	epoch, next int64
	last        map[int64]ledger.AppendResult
}

// New returns an empty log with seeded faults.
func New(seed uint64) *Log {
	return &Log{topics: make(map[string]*topic), Latency: 4 * time.Millisecond, random: rand.New(rand.NewPCG(seed, 1))}
}

func (l *Log) topicLocked(name string) *topic {
	t := l.topics[name]
	if t == nil {
		t = &topic{newest: make(map[string]ledger.Entry), writers: make(map[string]*producer), changed: make(chan struct{})}
		l.topics[name] = t
	}
	return t
}

// Expire drops the history of a topic. The newest record of each key stays.
func (l *Log) Expire(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.topicLocked(name)
	t.entries, t.first = nil, t.end
}

// LatestRecords returns the newest records of a topic by key.
func (l *Log) LatestRecords(name string) map[string][]byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	found := make(map[string][]byte)
	for key, e := range l.topicLocked(name).newest {
		found[key] = e.Value
	}
	return found
}

// Client is the log as one instance reaches it.
type Client struct {
	log *Log
	mu  sync.Mutex
	// down makes all calls fail without effect, lose is the share of appends whose answer is
	// lost, late makes these take effect seconds later.
	down bool
	lose float64
	late bool
	// silent makes all calls hang.
	silent bool
	// pageTime is the time that a page of newest records takes beyond the latency, pages counts those asked for.
	pageTime time.Duration
	pages    int
}

// Client returns a view of the log with faults of its own.
func (l *Log) Client() *Client { return &Client{log: l} }

// SetDown makes all calls fail without effect.
func (c *Client) SetDown(down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down = down
}

// SetSilent makes calls hang until their callers give up.
func (c *Client) SetSilent(silent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = silent
}

// hang waits for the caller to give up, if the log is silent.
func (c *Client) hang(ctx context.Context) error {
	c.mu.Lock()
	silent := c.silent
	c.mu.Unlock()
	if !silent {
		return nil
	}
	<-ctx.Done()
	return eris.Wrap(ledger.ErrUnknownOutcome, "no answer")
}

// SetLosses makes a share of the appends lose their answers; late ones take effect later.
func (c *Client) SetLosses(share float64, late bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lose, c.late = share, late
}

// SetPageTime sets how long a page of newest records takes, as it does when many readers share the log's
// bandwidth, and returns how many were asked for so far.
func (c *Client) SetPageTime(d time.Duration) (pages int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pageTime = d
	return c.pages
}

func (c *Client) countPage() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pages++
	return c.pageTime
}

func (c *Client) faults() (down bool, lose float64, late bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.down, c.lose, c.late
}

func wait(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return eris.Wrap(ledger.ErrUnknownOutcome, "no answer")
	}
}

// Append implements ledger.Log.
func (c *Client) Append(ctx context.Context, a ledger.Append) (ledger.AppendResult, error) {
	if err := c.hang(ctx); err != nil {
		return ledger.AppendResult{}, err
	}
	down, lose, late := c.faults()
	if down {
		return ledger.AppendResult{}, eris.Wrap(ledger.ErrUnavailable, "down")
	}
	if err := wait(ctx, c.log.Latency); err != nil {
		return ledger.AppendResult{}, err
	}
	if c.log.chance(lose) {
		if late {
			time.AfterFunc(2*time.Second, func() { _, _ = c.log.append(a) })
		} else {
			_, _ = c.log.append(a)
		}
		<-ctx.Done()
		return ledger.AppendResult{}, eris.Wrap(ledger.ErrUnknownOutcome, "answer lost")
	}
	return c.log.append(a)
}

func (l *Log) chance(share float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return share > 0 && l.random.Float64() < share
}

func (l *Log) append(a ledger.Append) (ledger.AppendResult, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.topicLocked(a.Topic)
	if a.ExpectedEnd != ledger.AnyEnd && a.ExpectedEnd != t.end {
		return ledger.AppendResult{}, &ledger.ConflictError{End: t.end}
	}
	if a.Producer == "" {
		return t.add(a.Records), nil
	}
	p := t.writers[a.Producer]
	switch {
	case p == nil || a.Epoch > p.epoch:
		p = &producer{epoch: a.Epoch, next: a.Sequence, last: make(map[int64]ledger.AppendResult)}
		t.writers[a.Producer] = p
	case a.Epoch < p.epoch:
		return ledger.AppendResult{}, ledger.ErrFenced
	}
	if done, repeated := p.last[a.Sequence]; repeated {
		return done, nil
	}
	if a.Sequence != p.next {
		return ledger.AppendResult{}, &ledger.SequenceError{Expected: p.next}
	}
	done := t.add(a.Records)
	p.next++
	p.last[a.Sequence] = done
	delete(p.last, a.Sequence-5)
	return done, nil
}

func (t *topic) add(records []ledger.Record) ledger.AppendResult {
	done := ledger.AppendResult{Offset: t.end}
	for _, r := range records {
		e := ledger.Entry{Record: r, Offset: t.end}
		t.entries = append(t.entries, e)
		t.end++
		if len(r.Value) == 0 {
			delete(t.newest, r.Key)
		} else {
			t.newest[r.Key] = e
		}
	}
	done.End = t.end
	close(t.changed)
	t.changed = make(chan struct{})
	return done
}

// Read implements ledger.Log.
func (c *Client) Read(ctx context.Context, name string, from int64, limit time.Duration) (ledger.Page, error) {
	if err := c.hang(ctx); err != nil {
		return ledger.Page{}, err
	}
	deadline := time.NewTimer(limit + c.log.Latency)
	defer deadline.Stop()
	for expired := false; ; {
		if down, _, _ := c.faults(); down {
			return ledger.Page{}, eris.Wrap(ledger.ErrUnavailable, "down")
		}
		page, changed, err := c.log.read(name, from)
		if err != nil || len(page.Entries) > 0 || expired {
			return page, err
		}
		select {
		case <-changed:
			if err := wait(ctx, c.log.Latency); err != nil {
				return ledger.Page{}, err
			}
		case <-deadline.C:
			expired = true
		case <-ctx.Done():
			return ledger.Page{}, eris.Wrap(ledger.ErrUnknownOutcome, "no answer")
		}
	}
}

func (l *Log) read(name string, from int64) (ledger.Page, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.topicLocked(name)
	if from < t.first {
		return ledger.Page{}, nil, ledger.ErrExpired
	}
	page := ledger.Page{End: t.end}
	if from < t.end {
		page.Entries = slices.Clone(t.entries[from-t.first:])
	}
	return page, t.changed, nil
}

// Latest implements ledger.Log.
func (c *Client) Latest(ctx context.Context, name, after string) (ledger.LatestPage, error) {
	if err := c.hang(ctx); err != nil {
		return ledger.LatestPage{}, err
	}
	if down, _, _ := c.faults(); down {
		return ledger.LatestPage{}, eris.Wrap(ledger.ErrUnavailable, "down")
	}
	if err := wait(ctx, c.log.Latency+c.countPage()); err != nil {
		return ledger.LatestPage{}, err
	}
	c.log.mu.Lock()
	defer c.log.mu.Unlock()
	t := c.log.topicLocked(name)
	page := ledger.LatestPage{End: t.end}
	for key, e := range t.newest {
		if key > after {
			page.Entries = append(page.Entries, e)
		}
	}
	slices.SortFunc(page.Entries, func(a, b ledger.Entry) int { return strings.Compare(a.Key, b.Key) })
	if len(page.Entries) > pageSize {
		page.Entries, page.More = page.Entries[:pageSize], true
	}
	return page, nil
}
