package main

import (
	"context"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Limits of the store, as in the settings of the instances.
const (
	recordBytes = 262144
	callBytes   = 2097152
	appendTime  = 4 * time.Millisecond
	answerTime  = 4 * time.Millisecond
	newestItems = 500
	newestBytes = 1 << 20
	keptAppends = 5
	// Bytes per second that a partition appends and that all reads share, and the most that may wait for an append.
	appendRate   = 20 << 20
	readRate     = 80 << 20
	maxWaiting   = 2 * time.Second
	headerBytes  = 16
	lengthBytes  = 4
	defaultMaxKb = 1024
)

// entry is a record of a topic.
type entry struct {
	key   string
	value []byte
	raw   []byte
}

// appendAnswer is the answer to an append, kept for repeats.
type appendAnswer struct {
	sequence    int64
	offset, end int64
}

// producer is what a partition knows of a producer.
type producer struct {
	epoch, next int64
	started     bool
	last        []appendAnswer
}

// topic is a topic with one partition.
type topic struct {
	entries []entry
	newest  map[string]int64
	// keys is the sorted keys that have a value; nil if it has to be made anew.
	keys      []string
	producers map[string]*producer
	// changed is closed and replaced with each append.
	changed chan struct{}
	// appending serializes the appends. busyUntil is when those that have arrived are done.
	appending sync.Mutex
	busyUntil time.Time
}

// store is a stand-in of the platform's metadata store: a log with topics of one partition.
type store struct {
	rec *recorder

	mu     sync.Mutex
	topics map[string]*topic
	// readsUntil is when the reads that have been answered are transferred.
	readsUntil time.Time
}

func newStore(rec *recorder) *store {
	return &store{rec: rec, topics: make(map[string]*topic)}
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/log-append", s.append)
	mux.HandleFunc("GET /-/log-read", s.read)
	mux.HandleFunc("GET /-/log-newest", s.newest)
	return mux
}

// topic returns a topic, which it creates if create is set; else nil if there is none. The caller holds the mutex.
func (s *store) topic(name string, create bool) *topic {
	t := s.topics[name]
	if t == nil && create {
		t = &topic{newest: make(map[string]int64), producers: make(map[string]*producer), changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// put appends a record for the operator or an executor.
func (s *store) put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	raw := append([]byte{byte(len(key))}, key...)
	s.addLocked(s.topic(name, true), []entry{{key: key, value: value, raw: append(raw, value...)}})
}

func (s *store) addLocked(t *topic, entries []entry) (offset, end int64) {
	offset = int64(len(t.entries))
	for _, e := range entries {
		t.newest[e.key] = int64(len(t.entries))
		t.entries = append(t.entries, e)
	}
	t.keys = nil
	close(t.changed)
	t.changed = make(chan struct{})
	return offset, int64(len(t.entries))
}

// decode decodes the records of an append. It returns false if one is malformed.
func decode(data []byte) (entries []entry, total int, ok bool) {
	for len(data) > 0 {
		if len(data) < lengthBytes {
			return nil, 0, false
		}
		size := int(binary.BigEndian.Uint32(data))
		data = data[lengthBytes:]
		if size > len(data) || size < 1 || 1+int(data[0]) > size {
			return nil, 0, false
		}
		raw := data[:size]
		end := 1 + int(raw[0])
		entries = append(entries, entry{key: string(raw[1:end]), value: raw[end:], raw: raw})
		if size > recordBytes {
			return nil, 0, false
		}
		total += size
		data = data[size:]
	}
	return entries, total, true
}

func number(r *http.Request, name string) int64 {
	n, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	name := r.URL.Query().Get("Topic")
	entries, total, ok := decode(data)
	if !ok {
		s.rec.note("store", "append rejected", "topic", name, "cause", "malformed record, or one over RecordBytes")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if total > callBytes {
		s.rec.note("store", "append rejected", "topic", name, "records", len(entries), "bytes", total, "cause", "over CallBytes")
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	t, cost := s.admit(name, len(data))
	if t == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	t.appending.Lock()
	defer t.appending.Unlock()
	time.Sleep(cost)
	s.mu.Lock()
	defer s.mu.Unlock()
	status, body := s.appendLocked(t, r, entries)
	answer(w, status, body)
}

// admit returns the topic of an append and the time that it takes, or nil if too much is waiting.
func (s *store) admit(name string, bytes int) (*topic, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, now := s.topic(name, true), time.Now()
	if t.busyUntil.Sub(now) > maxWaiting {
		return nil, 0
	}
	if t.busyUntil.Before(now) {
		t.busyUntil = now
	}
	cost := appendTime + time.Duration(bytes)*time.Second/appendRate
	t.busyUntil = t.busyUntil.Add(cost)
	return t, cost
}

// appendLocked appends records unless the producer or the condition forbids it, and returns the answer.
func (s *store) appendLocked(t *topic, r *http.Request, entries []entry) (status int, body map[string]any) {
	query := r.URL.Query()
	sequence := number(r, "Sequence")
	var p *producer
	if id := query.Get("Producer"); id != "" {
		if p = t.producers[id]; p == nil {
			p = &producer{}
			t.producers[id] = p
		}
		if status, body := p.check(number(r, "epoch"), sequence); status != 0 {
			return status, body
		}
	}
	if query.Has("At") && number(r, "At") != int64(len(t.entries)) {
		return http.StatusPreconditionFailed, map[string]any{"End": len(t.entries)}
	}
	offset, end := s.addLocked(t, entries)
	if p != nil {
		p.next++
		p.last = append(p.last, appendAnswer{sequence, offset, end})
		p.last = p.last[max(0, len(p.last)-keptAppends):]
	}
	return http.StatusOK, map[string]any{"Offset": offset, "End": end}
}

// check returns the answer to an append that the producer must not make, or has made before; else 0.
func (p *producer) check(epoch, sequence int64) (status int, body map[string]any) {
	switch {
	case p.started && epoch < p.epoch:
		return http.StatusConflict, map[string]any{"Reason": "fenced"}
	case !p.started || epoch > p.epoch:
		*p = producer{epoch: epoch, next: sequence, started: true}
	}
	for _, a := range p.last {
		if a.sequence == sequence {
			return http.StatusOK, map[string]any{"Offset": a.offset, "End": a.end}
		}
	}
	if sequence != p.next {
		return http.StatusConflict, map[string]any{"Reason": "seq", "Sequence": p.next}
	}
	return 0, nil
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	from := number(r, "From")
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(number(r, "WaitMs"))*time.Millisecond)
	defer cancel()
	for {
		s.mu.Lock()
		t := s.topic(r.URL.Query().Get("Topic"), false)
		if t == nil {
			s.mu.Unlock()
			w.WriteHeader(http.StatusNotFound)
			return
		}
		end, changed := int64(len(t.entries)), t.changed
		s.mu.Unlock()
		if from < end {
			break
		}
		select {
		case <-changed:
			continue
		case <-ctx.Done():
		}
		break
	}
	time.Sleep(answerTime)
	maxBytes := int(number(r, "MaxKb")) << 10
	if maxBytes == 0 {
		maxBytes = defaultMaxKb << 10
	}
	s.mu.Lock()
	t := s.topic(r.URL.Query().Get("Topic"), false)
	data := binary.BigEndian.AppendUint64(nil, uint64(len(t.entries)))
	data = binary.BigEndian.AppendUint64(data, 0)
	for i := from; i < int64(len(t.entries)); i++ {
		raw := t.entries[i].raw
		if len(data) > headerBytes && len(data)+len(raw) > maxBytes {
			break
		}
		data = binary.BigEndian.AppendUint32(data, uint32(len(raw)))
		data = append(data, raw...)
	}
	s.mu.Unlock()
	s.transfer(len(data))
	_, _ = w.Write(data)
}

// transfer waits for the time that the bytes of an answer to a read take.
func (s *store) transfer(bytes int) {
	s.mu.Lock()
	now := time.Now()
	if s.readsUntil.Before(now) {
		s.readsUntil = now
	}
	s.readsUntil = s.readsUntil.Add(time.Duration(bytes) * time.Second / readRate)
	wait := s.readsUntil.Sub(now)
	s.mu.Unlock()
	time.Sleep(wait)
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	type item struct {
		Key    string
		Value  string
		Offset int64
	}
	body := struct {
		Items []item `json:"items"`
		More  bool
		End   int64
	}{Items: []item{}}
	s.mu.Lock()
	t := s.topic(r.URL.Query().Get("Topic"), false)
	if t == nil {
		s.mu.Unlock()
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if t.keys == nil {
		t.keys = make([]string, 0, len(t.newest))
		for key, offset := range t.newest {
			if len(t.entries[offset].value) > 0 {
				t.keys = append(t.keys, key)
			}
		}
		sort.Strings(t.keys)
	}
	after := r.URL.Query().Get("DependsOn")
	first := sort.Search(len(t.keys), func(i int) bool { return t.keys[i] > after })
	size := 0
	for _, key := range t.keys[first:] {
		e := t.entries[t.newest[key]]
		size += len(e.raw)
		if len(body.Items) == newestItems || (len(body.Items) > 0 && size > newestBytes) {
			body.More = true
			break
		}
		body.Items = append(body.Items, item{key, base64.StdEncoding.EncodeToString(e.value), t.newest[key]})
	}
	body.End = int64(len(t.entries))
	s.mu.Unlock()
	s.transfer(size)
	answer(w, http.StatusOK, body)
}

// answer writes a JSON response.
func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // This fails only if the caller has disconnected.
}
