package forecast

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/oleanderbend/oleanderbend/internal/boottime"
	"github.com/oleanderbend/oleanderbend/internal/ledger"
)

// Topic is the topic in which the leader stores the speeds of workers for the next leader.
const Topic = "keyed.speeds"

const (
	// workersPerRecord limits the size of a record to a few tens of kilobytes.
	workersPerRecord = 1000
	// speedScale is the factor by which speeds are multiplied in records, where they are whole numbers.
	speedScale = 1000
	// restoredRun is the run of an observation that an earlier leader has stored.
	restoredRun = 0
)

// ErrInvalidRecord means that a stored record cannot be used.
var ErrInvalidRecord = eris.New("forecast: invalid record of speeds")

// storedSpeed is the speed of one incarnation of a worker in a record: the start time of the incarnation in Unix
// milliseconds, and the speed multiplied by speedScale.
type storedSpeed [2]int64

// Encode returns the records of the known speeds of a service. incarnation returns the start time of the known incarnation of
// a worker in Unix milliseconds, and false for workers that are gone.
func (s *Speeds) Encode(service string, incarnation func(worker string) (int64, bool)) ([]ledger.Record, error) {
	var records []ledger.Record
	stored := make(map[string]storedSpeed)
	flush := func() error {
		value, err := json.Marshal(stored)
		if err != nil {
			return eris.Wrap(err, "encode speeds")
		}
		records = append(records, ledger.Record{Key: service + "/" + strconv.Itoa(len(records)), Value: value})
		clear(stored)
		return nil
	}
	for _, id := range slices.Sorted(maps.Keys(s.workers)) {
		startedAtMS, registered := incarnation(id)
		if speed, known := s.Speed(id); known && registered {
			stored[id] = storedSpeed{startedAtMS, int64(math.Round(speed * speedScale))}
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
}

// Decode returns the speeds in a record. It returns an error that wraps ErrInvalidRecord if the record cannot be read;
// speeds out of range are left out.
func Decode(r ledger.Record) ([]StoredSpeed, error) {
	slash := strings.LastIndexByte(r.Key, '/')
	if slash < 0 {
		return nil, fmt.Errorf("%w: key %q", ErrInvalidRecord, r.Key)
	}
	if len(r.Value) == 0 {
		return nil, nil
	}
	var stored map[string]storedSpeed
	if err := json.Unmarshal(r.Value, &stored); err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrInvalidRecord, r.Key, err)
	}
	var speeds []StoredSpeed
	for id, v := range stored {
		speed := float64(v[1]) / speedScale
		if speed >= minRatio && speed <= maxRatio {
			speeds = append(speeds, StoredSpeed{Service: r.Key[:slash], Worker: id, StartedAtMS: v[0], Speed: speed})
		}
	}
	return speeds, nil
}

// Restore adds a stored speed of a worker about which nothing is known yet. It counts like one observed run.
func (s *Speeds) Restore(now boottime.Instant, worker string, speed float64) {
	if _, known := s.Speed(worker); !known {
		s.add(worker, observation{restoredRun, speed * s.scale, now})
	}
}
