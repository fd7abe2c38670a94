package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// appendTime is the time that one append takes.
	appendTime = 4 * time.Millisecond
	// newestPageRecords is the largest number of records in a page of newest records.
	newestPageRecords = 500
	// callBytes is the largest total size of the records of one call, recordBytes that of one record.
	callBytes, recordBytes = 2097152, 262144
)

// store is the platform's store: topics with one partition each, nothing of which expires.
type store struct {
	mu     sync.Mutex
	topics map[string]*topic
}

type record struct{ key, value []byte }

type topic struct {
	// appending serializes the appends, each of which takes appendTime.
	appending sync.Mutex
	records   []record
	newest    map[string]int
	producers map[string]*producer
	changed   chan struct{}
}

type producer struct {
	epoch, next int64
	// offsets has the first offset of the last five appends, by sequence number.
	offsets map[int64][2]int
}

func newStore() *store { return &store{topics: make(map[string]*topic)} }

func (s *store) topic(name string) *topic {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: make(map[string]int), producers: make(map[string]*producer), changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// put appends one record. A nil value drops the key.
func (s *store) put(name, key string, value []byte) {
	t := s.topic(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	t.add([]record{{[]byte(key), value}})
}

// value returns the newest value of a key.
func (s *store) value(name, key string) []byte {
	t := s.topic(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	if i, ok := t.newest[key]; ok {
		return t.records[i].value
	}
	return nil
}

func (t *topic) add(records []record) {
	for _, r := range records {
		t.records = append(t.records, r)
		if len(r.value) == 0 {
			delete(t.newest, string(r.key))
		} else {
			t.newest[string(r.key)] = len(t.records) - 1
		}
	}
	close(t.changed)
	t.changed = make(chan struct{})
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/log-append", s.serveAppend)
	mux.HandleFunc("GET /-/log-read", s.serveRead)
	mux.HandleFunc("GET /-/log-newest", s.serveNewest)
	return mux
}

func number(text string) int64 {
	n, _ := strconv.ParseInt(text, 10, 64)
	return n
}

func decodeRecords(data []byte) ([]record, bool) {
	var records []record
	for len(data) > 0 {
		if len(data) < 5 {
			return nil, false
		}
		size := int(binary.BigEndian.Uint32(data))
		data = data[4:]
		if size < 1 || size > len(data) || 1+int(data[0]) > size {
			return nil, false
		}
		end := 1 + int(data[0])
		records = append(records, record{slices.Clone(data[1:end]), slices.Clone(data[end:size])})
		data = data[size:]
	}
	return records, true
}

func reply(w http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

type object map[string]any

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	records, ok := decodeRecords(data)
	if err != nil || !ok {
		reply(w, http.StatusBadRequest, object{})
		return
	}
	q := r.URL.Query()
	name := q.Get("Topic")
	total := 0
	for _, r := range records {
		total += 1 + len(r.key) + len(r.value)
		ok = ok && 1+len(r.key)+len(r.value) <= recordBytes
	}
	if !ok || total > callBytes {
		reply(w, http.StatusRequestEntityTooLarge, object{})
		return
	}
	if name == "keyed.op" || name == "keyed.servers" {
		reply(w, http.StatusForbidden, object{})
		return
	}
	t := s.topic(name)
	t.appending.Lock()
	defer t.appending.Unlock()
	time.Sleep(appendTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	if q.Has("At") && number(q.Get("At")) != int64(len(t.records)) {
		reply(w, http.StatusPreconditionFailed, object{"End": len(t.records)})
		return
	}
	sequence, epoch := number(q.Get("Sequence")), number(q.Get("epoch"))
	var p *producer
	if id := q.Get("Producer"); id != "" {
		p = t.producers[id]
		if p == nil || epoch > p.epoch {
			p = &producer{epoch: epoch, next: sequence, offsets: make(map[int64][2]int)}
			t.producers[id] = p
		}
		if epoch < p.epoch {
			reply(w, http.StatusConflict, object{"Reason": "fenced"})
			return
		}
		if o, repeated := p.offsets[sequence]; repeated {
			reply(w, http.StatusOK, object{"Offset": o[0], "End": o[1]})
			return
		}
		if sequence != p.next {
			reply(w, http.StatusConflict, object{"Reason": "seq", "Sequence": p.next})
			return
		}
	}
	offset := len(t.records)
	t.add(records)
	if p != nil {
		p.next++
		p.offsets[sequence] = [2]int{offset, len(t.records)}
		delete(p.offsets, sequence-5)
	}
	reply(w, http.StatusOK, object{"Offset": offset, "End": len(t.records)})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	t, from := s.topic(q.Get("Topic")), int(number(q.Get("From")))
	limit := 1024 << 10
	if q.Has("MaxKb") {
		limit = int(number(q.Get("MaxKb"))) << 10
	}
	deadline := time.After(time.Duration(number(q.Get("WaitMs"))) * time.Millisecond)
	for waited := false; ; {
		s.mu.Lock()
		end, changed := len(t.records), t.changed
		if end > from || waited {
			out := binary.BigEndian.AppendUint64(nil, uint64(end))
			out = binary.BigEndian.AppendUint64(out, 0)
			for i := max(from, 0); i < end && len(out) < limit; i++ {
				k, v := t.records[i].key, t.records[i].value
				out = binary.BigEndian.AppendUint32(out, uint32(1+len(k)+len(v)))
				out = append(append(append(out, byte(len(k))), k...), v...)
			}
			s.mu.Unlock()
			_, _ = w.Write(out)
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			waited = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	t, after := s.topic(q.Get("Topic")), q.Get("DependsOn")
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range t.newest {
		if strings.Compare(key, after) > 0 {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	more := len(keys) > newestPageRecords
	if more {
		keys = keys[:newestPageRecords]
	}
	items := []object{}
	for _, key := range keys {
		i := t.newest[key]
		items = append(items, object{"Key": key, "Value": base64.StdEncoding.EncodeToString(t.records[i].value), "Offset": i})
	}
	reply(w, http.StatusOK, object{"items": items, "More": more, "End": len(t.records)})
}
