package main

import (
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

// store is a stand-in of the platform's metadata store (form "log").
type store struct {
	mu     sync.Mutex
	topics map[string]*topic
	// stored is the size of all records. reads is when the reads that have begun will be done: they share readMBPerS.
	stored int64
	reads  time.Time
	// delay is the time that each call takes: AppendMs for an append, and a multiple while the store is slow.
	delay time.Duration
}

// Limits of the store: PartMbPerS, ReadMbPerS, the waiting time from which an append is refused, and the size from which on.
const (
	partMBPerS   = 20
	readMBPerS   = 80
	maxWaiting   = 2 * time.Second
	maxStoredMB  = 400
	partMB       = 200
	bytesPerMB   = 1 << 20
	maxCallBytes = 2097152
	maxRecord    = 262144
)

type record struct {
	key   string
	value []byte
	raw   []byte
}

type topic struct {
	records   []record
	newest    map[string]int
	producers map[string]*producer
	changed   chan struct{}
	// busy is when the appends that have begun will be done. first is the first record that has not expired, size that of
	// the records from there on.
	busy  time.Time
	first int
	size  int64
}

type producer struct {
	epoch, next int64
	begun       bool
	// responses holds the last five responses by sequence number.
	responses map[int64]appendResponse
}

type appendResponse struct{ Offset, End int64 }

func newStore() *store {
	return &store{topics: make(map[string]*topic), delay: 4 * time.Millisecond}
}

func (s *store) topicLocked(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: make(map[string]int), producers: make(map[string]*producer), changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

func (s *store) wait() {
	s.mu.Lock()
	d := s.delay
	s.mu.Unlock()
	time.Sleep(d)
}

// awaitTurn waits until an append may be processed. It returns a status other than 0 if the append is refused.
func (s *store) awaitTurn(name string, size int) int {
	s.mu.Lock()
	t, now := s.topicLocked(name), time.Now()
	if t.busy.Before(now) {
		t.busy = now
	}
	if t.busy.Sub(now) > maxWaiting {
		s.mu.Unlock()
		return http.StatusServiceUnavailable
	}
	if s.stored+int64(size) > maxStoredMB*bytesPerMB {
		s.mu.Unlock()
		return http.StatusInsufficientStorage
	}
	t.busy = t.busy.Add(s.delay + time.Duration(size)*time.Second/(partMBPerS*bytesPerMB))
	turn := t.busy
	s.mu.Unlock()
	time.Sleep(time.Until(turn))
	return 0
}

// awaitRead waits for the share of a read of the given size in ReadMbPerS.
func (s *store) awaitRead(size int) {
	s.mu.Lock()
	if now := time.Now(); s.reads.Before(now) {
		s.reads = now
	}
	s.reads = s.reads.Add(time.Duration(size) * time.Second / (readMBPerS * bytesPerMB))
	turn := s.reads
	s.mu.Unlock()
	time.Sleep(time.Until(turn))
}

func (t *topic) addLocked(r record) {
	t.records = append(t.records, r)
	for t.size += int64(len(r.raw)); t.size > partMB*bytesPerMB; t.first++ {
		t.size -= int64(len(t.records[t.first].raw))
	}
	if len(r.value) == 0 {
		delete(t.newest, r.key)
	} else {
		t.newest[r.key] = len(t.records) - 1
	}
	close(t.changed)
	t.changed = make(chan struct{})
}

// put writes a record as the operator or an executor.
func (s *store) put(topicName, key string, value any) {
	var data []byte
	if value != nil {
		data, _ = json.Marshal(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topicLocked(topicName).addLocked(record{key: key, value: data, raw: append(append([]byte{byte(len(key))}, key...), data...)})
}

// get returns the newest value of a key.
func (s *store) get(topicName, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topicLocked(topicName)
	i, ok := t.newest[key]
	if !ok {
		return nil
	}
	return t.records[i].value
}

func answer(w http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/log-append", s.append)
	mux.HandleFunc("GET /-/log-read", s.read)
	mux.HandleFunc("GET /-/log-newest", s.latest)
	return mux
}

func number(s string) int64 {
	n, _ := strconv.ParseInt(s, 10, 64)
	return n
}

// parseRecords returns the records of an append, or the status with which it is refused.
func parseRecords(data []byte) (records []record, status int) {
	if len(data) > maxCallBytes {
		return nil, http.StatusRequestEntityTooLarge
	}
	for len(data) > 0 {
		if len(data) < 4 || int(binary.BigEndian.Uint32(data)) > len(data)-4 {
			return nil, http.StatusBadRequest
		}
		size := binary.BigEndian.Uint32(data)
		if size > maxRecord {
			return nil, http.StatusRequestEntityTooLarge
		}
		raw := data[4 : 4+size]
		data = data[4+len(raw):]
		if len(raw) == 0 || 1+int(raw[0]) > len(raw) {
			return nil, http.StatusBadRequest
		}
		n := 1 + int(raw[0])
		records = append(records, record{key: string(raw[1:n]), value: raw[n:], raw: raw})
	}
	return records, 0
}

// admitLocked checks an append of a producer. It returns false if it has written the answer.
func (t *topic) admitLocked(w http.ResponseWriter, name string, epoch, sequence int64) (*producer, bool) {
	p := t.producers[name]
	if p == nil {
		p = &producer{epoch: -1}
		t.producers[name] = p
	}
	if epoch < p.epoch {
		answer(w, http.StatusConflict, map[string]any{"Reason": "fenced"})
		return p, false
	}
	if epoch > p.epoch {
		*p = producer{epoch: epoch, responses: make(map[int64]appendResponse)}
	}
	if earlier, ok := p.responses[sequence]; ok {
		answer(w, http.StatusOK, earlier)
		return p, false
	}
	if p.begun && sequence != p.next {
		answer(w, http.StatusConflict, map[string]any{"Reason": "seq", "Sequence": p.next})
		return p, false
	}
	return p, true
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	q := r.URL.Query()
	name := q.Get("Topic")
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	records, status := parseRecords(data)
	if status == 0 {
		status = s.awaitTurn(name, len(data))
	}
	if status != 0 {
		w.WriteHeader(status)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topicLocked(name)
	end := int64(len(t.records))
	if q.Has("At") && number(q.Get("At")) != end {
		answer(w, http.StatusPreconditionFailed, map[string]any{"End": end})
		return
	}
	var p *producer
	sequence := number(q.Get("Sequence"))
	if q.Has("Producer") {
		var admitted bool
		if p, admitted = t.admitLocked(w, q.Get("Producer"), number(q.Get("epoch")), sequence); !admitted {
			return
		}
	}
	for _, rec := range records {
		t.addLocked(rec)
	}
	s.stored += int64(len(data))
	response := appendResponse{Offset: end, End: int64(len(t.records))}
	if p != nil {
		p.begun, p.next = true, sequence+1
		p.responses[sequence] = response
		delete(p.responses, sequence-5)
	}
	answer(w, http.StatusOK, response)
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from := number(q.Get("From"))
	s.wait()
	deadline := time.After(time.Duration(number(q.Get("WaitMs"))) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		t := s.topicLocked(q.Get("Topic"))
		end, changed := int64(len(t.records)), t.changed
		if from < int64(t.first) {
			first := t.first
			s.mu.Unlock()
			answer(w, http.StatusGone, map[string]any{"First": first})
			return
		}
		if from < end || !waiting {
			out := binary.BigEndian.AppendUint64(nil, uint64(end))
			out = binary.BigEndian.AppendUint64(out, 0)
			for i := from; i < end && len(out) < 1<<20; i++ {
				raw := t.records[i].raw
				out = binary.BigEndian.AppendUint32(out, uint32(len(raw)))
				out = append(out, raw...)
			}
			s.mu.Unlock()
			s.awaitRead(len(out))
			_, _ = w.Write(out)
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) latest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after := q.Get("DependsOn")
	s.wait()
	s.mu.Lock()
	t := s.topicLocked(q.Get("Topic"))
	var keys []string
	for k := range t.newest {
		if k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	more := len(keys) > 500
	if more {
		keys = keys[:500]
	}
	items, size := []map[string]any{}, 0
	for _, k := range keys {
		i := t.newest[k]
		if size += len(t.records[i].value); size > bytesPerMB && len(items) > 0 {
			more = true
			break
		}
		items = append(items, map[string]any{"Key": k, "Value": base64.StdEncoding.EncodeToString(t.records[i].value), "Offset": i})
	}
	end := len(t.records)
	s.mu.Unlock()
	s.awaitRead(size)
	answer(w, http.StatusOK, map[string]any{"items": items, "More": more, "End": end})
}
