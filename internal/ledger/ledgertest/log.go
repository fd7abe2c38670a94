// Package ledgertest provides an in-memory stand-in of the platform's log. It checks appends for
// conflicts, epochs and sequence numbers as the log does, and simulates faults that tests set.
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

// recordOverhead is the size of the lengths that precede the key and the value of a record.
const recordOverhead = 5

// pageSize is the maximum number of records in a page of latest records.
const pageSize = 500

// Log is an in-memory log. Client returns a connection to it for one instance.
type Log struct {
	mu     sync.Mutex
	topics map[string]*topic
	// Latency is the response time of the log.
	Latency time.Duration
	// MaxCallBytes is the maximum size of the records of an append; 0 for no limit.
	MaxCallBytes int
	random       *rand.Rand
}

type topic struct {
	entries     []ledger.Entry
	firstOffset int64
	end         int64
	latest      map[string]ledger.Entry
	producers   map[string]*producer
	changed     chan struct{}
}

// producer is what the log stores about a producer: its epoch, the next sequence number, and the results
// of its last 5 appends by sequence number.
type producer struct {
	epoch, next int64
	results     map[int64]ledger.AppendResult
}

// New returns an empty log. The seed determines which appends lose their responses.
func New(seed uint64) *Log {
	return &Log{topics: make(map[string]*topic), Latency: 4 * time.Millisecond, random: rand.New(rand.NewPCG(seed, 1))}
}

func (l *Log) topicLocked(name string) *topic {
	t := l.topics[name]
	if t == nil {
		t = &topic{latest: make(map[string]ledger.Entry), producers: make(map[string]*producer), changed: make(chan struct{})}
		l.topics[name] = t
	}
	return t
}

// Expire removes all entries of a topic, as retention does once they are old enough. The latest record of
// each key is retained.
func (l *Log) Expire(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.topicLocked(name)
	t.entries, t.firstOffset = nil, t.end
}

// Forget removes all entries of a topic and the latest record of a key, as a loss of history does.
func (l *Log) Forget(name, key string) {
	l.Expire(name)
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.topicLocked(name).latest, key)
}

// LatestValues returns the latest values of a topic by key.
func (l *Log) LatestValues(name string) map[string][]byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	found := make(map[string][]byte)
	for key, e := range l.topicLocked(name).latest {
		found[key] = e.Value
	}
	return found
}

// Client is one instance's connection to the log. Faults are set for each client separately.
type Client struct {
	log *Log
	mu  sync.Mutex
	// down makes all calls fail without effect. lossRate is the probability, from 0 to 1, that the
	// response to an append is lost; with lateEffect such an append takes effect only 2 seconds later.
	down       bool
	lossRate   float64
	lateEffect bool
	// silent makes all calls block without a response.
	silent bool
	// downTopic is the topic to which appends of records fail without effect, or empty.
	downTopic string
	// pageDelay is added to the response time of a page of latest records; pages counts the requests.
	pageDelay time.Duration
	pages     int
}

// Client returns a connection to the log without faults.
func (l *Log) Client() *Client { return &Client{log: l} }

// SetDown makes all calls fail without effect.
func (c *Client) SetDown(down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down = down
}

// SetAppendsDown makes appends of records to a topic fail without effect; an empty topic ends the fault.
// Appends that only set the epoch of a producer succeed.
func (c *Client) SetAppendsDown(topic string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.downTopic = topic
}

// SetSilent makes calls block without a response until their contexts end.
func (c *Client) SetSilent(silent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = silent
}

// waitIfSilent blocks until ctx is done if the log gives no responses.
func (c *Client) waitIfSilent(ctx context.Context) error {
	c.mu.Lock()
	silent := c.silent
	c.mu.Unlock()
	if !silent {
		return nil
	}
	<-ctx.Done()
	return eris.Wrap(ledger.ErrUnknownOutcome, "no response")
}

// SetResponseLoss makes appends lose their responses with the probability lossRate, from 0 to 1. They take
// effect at once, or 2 seconds later if lateEffect is set.
func (c *Client) SetResponseLoss(lossRate float64, lateEffect bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lossRate, c.lateEffect = lossRate, lateEffect
}

// SetPageDelay sets a delay of the pages of latest records, which simulates readers that share the log's
// bandwidth. It returns how many pages have been requested so far.
func (c *Client) SetPageDelay(d time.Duration) (pages int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pageDelay = d
	return c.pages
}

// pageRequested counts a request for a page of latest records and returns the delay of its response.
func (c *Client) pageRequested() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pages++
	return c.pageDelay
}

func (c *Client) faults() (down bool, lossRate float64, lateEffect bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.down, c.lossRate, c.lateEffect
}

func (c *Client) appendsDown(topic string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return topic == c.downTopic
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return eris.Wrap(ledger.ErrUnknownOutcome, "no response")
	}
}

// Append implements ledger.Log.
func (c *Client) Append(ctx context.Context, a ledger.Append) (ledger.AppendResult, error) {
	if err := c.waitIfSilent(ctx); err != nil {
		return ledger.AppendResult{}, err
	}
	down, lossRate, lateEffect := c.faults()
	if down || (len(a.Records) > 0 && c.appendsDown(a.Topic)) {
		return ledger.AppendResult{}, eris.Wrap(ledger.ErrUnavailable, "down")
	}
	if err := sleep(ctx, c.log.Latency); err != nil {
		return ledger.AppendResult{}, err
	}
	if c.log.chance(lossRate) {
		if lateEffect {
			time.AfterFunc(2*time.Second, func() { _, _ = c.log.append(a) })
		} else {
			_, _ = c.log.append(a)
		}
		<-ctx.Done()
		return ledger.AppendResult{}, eris.Wrap(ledger.ErrUnknownOutcome, "response lost")
	}
	return c.log.append(a)
}

// chance returns true with the given probability, from 0 to 1.
func (l *Log) chance(probability float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return probability > 0 && l.random.Float64() < probability
}

func (l *Log) append(a ledger.Append) (ledger.AppendResult, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	size := 0
	for _, r := range a.Records {
		size += recordOverhead + len(r.Key) + len(r.Value)
	}
	if l.MaxCallBytes > 0 && size > l.MaxCallBytes {
		return ledger.AppendResult{}, eris.Wrapf(ledger.ErrRejected, "%d bytes in one append", size)
	}
	t := l.topicLocked(a.Topic)
	if a.ExpectedEnd != ledger.AnyEnd && a.ExpectedEnd != t.end {
		return ledger.AppendResult{}, &ledger.ConflictError{End: t.end}
	}
	if a.Producer == "" {
		return t.add(a.Records), nil
	}
	p := t.producers[a.Producer]
	switch {
	case p == nil || a.Epoch > p.epoch:
		// The first append of an epoch may have any sequence number.
		p = &producer{epoch: a.Epoch, next: a.Sequence, results: make(map[int64]ledger.AppendResult)}
		t.producers[a.Producer] = p
	case a.Epoch < p.epoch:
		return ledger.AppendResult{}, ledger.ErrFenced
	}
	if result, repeated := p.results[a.Sequence]; repeated {
		return result, nil
	}
	if a.Sequence != p.next {
		return ledger.AppendResult{}, &ledger.SequenceError{Expected: p.next}
	}
	result := t.add(a.Records)
	p.next++
	p.results[a.Sequence] = result
	delete(p.results, a.Sequence-5)
	return result, nil
}

func (t *topic) add(records []ledger.Record) ledger.AppendResult {
	result := ledger.AppendResult{Offset: t.end}
	for _, r := range records {
		e := ledger.Entry{Record: r, Offset: t.end}
		t.entries = append(t.entries, e)
		t.end++
		if len(r.Value) == 0 {
			delete(t.latest, r.Key)
		} else {
			t.latest[r.Key] = e
		}
	}
	result.End = t.end
	close(t.changed)
	t.changed = make(chan struct{})
	return result
}

// Read implements ledger.Log.
func (c *Client) Read(ctx context.Context, name string, from int64, wait time.Duration) (ledger.Page, error) {
	if err := c.waitIfSilent(ctx); err != nil {
		return ledger.Page{}, err
	}
	timer := time.NewTimer(wait + c.log.Latency)
	defer timer.Stop()
	for waited := false; ; {
		if down, _, _ := c.faults(); down {
			return ledger.Page{}, eris.Wrap(ledger.ErrUnavailable, "down")
		}
		page, changed, err := c.log.read(name, from)
		if err != nil || len(page.Entries) > 0 || waited {
			return page, err
		}
		select {
		case <-changed:
			if err := sleep(ctx, c.log.Latency); err != nil {
				return ledger.Page{}, err
			}
		case <-timer.C:
			waited = true
		case <-ctx.Done():
			return ledger.Page{}, eris.Wrap(ledger.ErrUnknownOutcome, "no response")
		}
	}
}

func (l *Log) read(name string, from int64) (ledger.Page, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.topicLocked(name)
	if from < t.firstOffset {
		return ledger.Page{}, nil, ledger.ErrExpired
	}
	page := ledger.Page{End: t.end}
	if from < t.end {
		page.Entries = slices.Clone(t.entries[from-t.firstOffset:])
	}
	return page, t.changed, nil
}

// Latest implements ledger.Log.
func (c *Client) Latest(ctx context.Context, name, after string) (ledger.LatestPage, error) {
	if err := c.waitIfSilent(ctx); err != nil {
		return ledger.LatestPage{}, err
	}
	if down, _, _ := c.faults(); down {
		return ledger.LatestPage{}, eris.Wrap(ledger.ErrUnavailable, "down")
	}
	if err := sleep(ctx, c.log.Latency+c.pageRequested()); err != nil {
		return ledger.LatestPage{}, err
	}
	c.log.mu.Lock()
	defer c.log.mu.Unlock()
	t := c.log.topicLocked(name)
	page := ledger.LatestPage{End: t.end}
	for key, e := range t.latest {
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
