package forecast

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/oleanderbend/oleanderbend/internal/boottime"
	"github.com/oleanderbend/oleanderbend/internal/ledger"
)

// Topic is the topic in which the leader stores the speeds of workers for the next leader.
const Topic = "keyed.speeds"

const (
	// workersPerRecord limits the size of a record to a few tens of kilobytes.
	workersPerRecord = 1000
	// maxRecords is the number of records of a service that a next leader removes at most: those of a million workers.
	maxRecords = 1000
	// speedScale is the factor by which speeds are multiplied in records, where they are whole numbers.
	speedScale = 1000
	// restoredRun is the run of an observation that an earlier leader has stored.
	restoredRun = 0
)

// ErrInvalidRecord means that a stored record cannot be used.
var ErrInvalidRecord = eris.New("forecast: invalid record of speeds")

// storedSpeed is the speed of one incarnation of a worker in a record: the start time of the incarnation in Unix
// milliseconds, the speed multiplied by speedScale, and the time of the last observation in milliseconds of the worker's
// clock. Instances share no other clock: their times of day may differ by minutes.
type storedSpeed [3]int64

// storedFields is the number of values of a storedSpeed. Earlier versions stored no time, and so no speed that may be used.
const storedFields = 3

// Incarnation is one incarnation of a worker.
type Incarnation struct {
	// StartedAtMS is its start time in Unix milliseconds.
	StartedAtMS int64
	// ClockMS is a reading of its clock, in milliseconds, that the clock has reached by now.
	ClockMS int64
}

// RecordKey returns the key of the record with the given number of a service.
func RecordKey(service string, n int) string { return service + "/" + strconv.Itoa(n) }

// ParseRecordKey returns the service and the number in the key of a record, and false if it is not such a key. Numbers are
// limited so that another writer's record does not cause many removals.
func ParseRecordKey(key string) (service string, n int, ok bool) {
	slash := strings.LastIndexByte(key, '/')
	if slash < 0 {
		return "", 0, false
	}
	n, err := strconv.Atoi(key[slash+1:])
	return key[:slash], n, err == nil && n >= 0 && n < maxRecords
}

// Encode returns the records of the known speeds of a service. incarnation returns the known incarnation of a worker, and
// false for workers that are gone.
func (s *Speeds) Encode(service string, now boottime.Instant, incarnation func(worker string) (Incarnation, bool)) ([]ledger.Record, error) {
	var records []ledger.Record
	stored := make(map[string]storedSpeed)
	flush := func() error {
		value, err := json.Marshal(stored)
		if err != nil {
			return eris.Wrap(err, "encode speeds")
		}
		records = append(records, ledger.Record{Key: RecordKey(service, len(records)), Value: value})
		clear(stored)
		return nil
	}
	for _, id := range slices.Sorted(maps.Keys(s.workers)) {
		i, registered := incarnation(id)
		if speed, known := s.Speed(id); known && registered {
			observedMS := i.ClockMS - now.Sub(s.workers[id].lastObserved()).Milliseconds()
			stored[id] = storedSpeed{i.StartedAtMS, int64(math.Round(speed * speedScale)), observedMS}
		}
		if len(stored) == workersPerRecord {
			if err := flush(); err != nil {
				return nil, err
			}
		}
	}
	if len(stored) == 0 {
		return records, nil
	}
	return records, flush()
}

// StoredSpeed is the speed of one incarnation of a worker as an earlier leader has stored it.
type StoredSpeed struct {
	Service, Worker string
	// StartedAtMS is the start time of the incarnation, in Unix milliseconds.
	StartedAtMS int64
	Speed       float64
	// ObservedMS is the time of the last observation, in milliseconds of the worker's clock.
	ObservedMS int64
}

// Decode returns the speeds in a record. It returns an error that wraps ErrInvalidRecord if the record cannot be read;
// speeds out of range or without the time of an observation are left out.
func Decode(r ledger.Record) ([]StoredSpeed, error) {
	slash := strings.LastIndexByte(r.Key, '/')
	if slash < 0 {
		return nil, fmt.Errorf("%w: key %q", ErrInvalidRecord, r.Key)
	}
	if len(r.Value) == 0 {
		return nil, nil
	}
	var stored map[string][]int64
	if err := json.Unmarshal(r.Value, &stored); err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrInvalidRecord, r.Key, err)
	}
	var speeds []StoredSpeed
	for id, v := range stored {
		if len(v) < storedFields {
			continue
		}
		speed := float64(v[1]) / speedScale
		if speed >= minRatio && speed <= maxRatio {
			speeds = append(speeds, StoredSpeed{Service: r.Key[:slash], Worker: id, StartedAtMS: v[0], Speed: speed, ObservedMS: v[2]})
		}
	}
	return speeds, nil
}

// Restore adds a stored speed of a worker about which nothing is known yet, which was last observed the given time ago. It
// counts like one run that was observed then, and not at all if it is older than maxObservationAge: a worker that
// has not shown its speed for so long may have been learned wrongly, and every leader would pass it on.
func (s *Speeds) Restore(now boottime.Instant, worker string, speed float64, age time.Duration) {
	if _, known := s.Speed(worker); !known && age <= maxObservationAge {
		s.add(worker, observation{restoredRun, speed * s.scale, now.Add(-max(0, age))})
	}
}
