package controller

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/boottime"
	"github.com/oleanderbend/oleanderbend/internal/evacuation"
	"github.com/oleanderbend/oleanderbend/internal/worker"
)

// stopForEvacuation is the reason of stops because of evacuated zones, for the log.
const stopForEvacuation = "zone is evacuated"

// evacuationState is what the leader knows of evacuated zones.
type evacuationState struct {
	// zones is the evacuated zones with the offsets of their records. It must not be changed.
	zones map[string]int64
	// returnedAt is when a zone returned to service, for zones that are not fully used yet.
	returnedAt map[string]boottime.Instant
	// withheldSince is since when no starts are sent because the copy of the operator's records is too old; 0 if they
	// are sent.
	withheldSince boottime.Instant
}

// updateEvacuations reads the evacuated zones, and stops the runs that must not begin in them. It reports whether starts
// may be sent: whether the copy of the operator's records is fresh enough.
func (l *leader) updateEvacuations() bool {
	fresh := l.applyEvacuations(l.c.cfg.Evacuations())
	l.stopInEvacuatedZones()
	l.dropReturnedZones(boottime.Now())
	return fresh
}

// applyEvacuations applies the copy of the operator's records and reports whether it is fresh enough for starts.
func (l *leader) applyEvacuations(c evacuation.Copy) bool {
	now := boottime.Now()
	s := &l.evacuation
	began, ended := evacuation.Difference(s.zones, c.Zones)
	before := s.zones
	s.zones = c.Zones
	for _, zone := range began {
		delete(s.returnedAt, zone)
		l.logEvacuation(zone, c.Zones[zone], "evacuation begins")
	}
	for _, zone := range ended {
		if s.returnedAt == nil {
			s.returnedAt = make(map[string]boottime.Instant)
		}
		s.returnedAt[zone] = now
		l.logEvacuation(zone, before[zone], "evacuation ends")
	}
	if len(began) > 0 || len(ended) > 0 {
		l.planDue = true
		l.stopInEvacuatedZones()
	}
	fresh := l.evacuationBound().Fresh(c)
	switch {
	case !fresh && s.withheldSince == 0:
		s.withheldSince = now
		l.logger.Warn().Dur("age", c.Age).Bool("synced", c.Synced).Int64("epoch", l.term.Epoch).Msg("operator's records too old, starts withheld")
	case fresh && s.withheldSince != 0:
		l.logger.Info().Dur("withheld", now.Sub(s.withheldSince)).Msg("operator's records are current, starts resumed")
		s.withheldSince = 0
		l.planDue = true
	}
	return fresh
}

func (l *leader) evacuationBound() evacuation.Bound {
	return evacuation.Bound(l.c.cfg.Timing.EvacuationBound)
}

// logEvacuation logs the begin or the end of an evacuation, with the offset of the record that evacuates the zone or did so.
func (l *leader) logEvacuation(zone string, offset int64, event string) {
	workers, runs := 0, 0
	for _, ws := range l.workers {
		if ws.info.Zone == zone {
			workers++
			runs += len(ws.runs)
		}
	}
	l.logger.Info().Str("zone", zone).Int64("offset", offset).Int("workers", workers).Int("runs", runs).Int64("epoch", l.term.Epoch).Msg(event)
}

// evacuated reports whether the zone of a worker is evacuated.
func (l *leader) evacuated(ws *workerState) bool {
	_, evacuated := l.evacuation.zones[ws.info.Zone]
	return evacuated
}

// stopInEvacuatedZones stops the runs that must not begin in the evacuated zones, with the other members of their gangs.
func (l *leader) stopInEvacuatedZones() {
	if len(l.evacuation.zones) == 0 {
		return
	}
	checked := make(map[*unit]bool)
	for _, ws := range l.workers {
		if !l.evacuated(ws) {
			continue
		}
		for _, r := range ws.runList() {
			if u := r.task.unit; !checked[u] {
				checked[u] = true
				l.stopEvacuated(u)
			}
		}
	}
}

// stopEvacuated stops the runs of a unit that must not begin because of evacuated zones.
func (l *leader) stopEvacuated(u *unit) {
	var runs []*run
	var described []evacuation.Run
	for _, t := range u.tasks {
		if t.run != nil {
			runs = append(runs, t.run)
			described = append(described, evacuation.Run{Progress: t.run.startProgress(), Evacuated: l.evacuated(t.run.worker)})
		}
	}
	for i, stop := range evacuation.Stops(u.gang(), described) {
		// The stop of another member may have ended the run.
		if r := runs[i]; stop && r.task.run == r && r.state != stopping {
			l.c.metrics.evacuationStops.Inc()
			l.stopRun(r, stopForEvacuation)
		}
	}
}

// startProgress returns how far the start of a run has come.
func (r *run) startProgress() evacuation.Progress {
	switch {
	case r.state == storing:
		return evacuation.NotSent
	case r.state == starting && r.startInFlight:
		return evacuation.InFlight
	case r.state == starting:
		return evacuation.Unanswered
	case r.state == running:
		return evacuation.Executing
	case r.state == stopping:
		return evacuation.Stopping
	default:
		return evacuation.Unreported
	}
}

// startPermitted reports whether the start of a run may be sent now as far as evacuations are concerned, and the latest
// lease expiry to send with it, in milliseconds of the worker's clock. The start is deferred while the copy of the
// operator's records is too old; in an evacuated zone, the run is stopped. now must have been read before the call: if
// the process is suspended after that, the worker rejects the start.
func (l *leader) startPermitted(r *run, now boottime.Instant) (permitted bool, latestExpiry int64) {
	c := l.c.cfg.Evacuations()
	fresh := l.applyEvacuations(c)
	if r.task.run != r || r.state == stopping {
		return false, 0
	}
	if l.evacuated(r.worker) {
		l.stopEvacuated(r.task.unit)
		if r.task.run == r {
			l.stopRun(r, stopForEvacuation)
		}
		return false, 0
	}
	r.startDeferred = !fresh
	if !fresh {
		return false, 0
	}
	return true, l.evacuationExpiry(r.worker, now, c)
}

// evacuationExpiry returns the lease expiry, in milliseconds of the worker's clock, with which the worker rejects a start
// that arrives too late after the copy of the operator's records was complete. Starts are delayed by the network, or if
// this process is suspended after the last check.
func (l *leader) evacuationExpiry(ws *workerState, now boottime.Instant, c evacuation.Copy) int64 {
	limit, limited := l.evacuationBound().StartTime(c)
	if !limited {
		return math.MaxInt64
	}
	slowest := 1 - maxClockDrift
	return ws.leastClock(now) + int64(slowest*float64(limit.Milliseconds()))
}

// raiseLeastClock records that the worker's clock had reached a reading, in milliseconds, at the given instant or earlier.
func (ws *workerState) raiseLeastClock(now boottime.Instant, clockMS int64) {
	ws.leastClockMS, ws.leastClockAt = max(clockMS, ws.leastClock(now)), now
}

// leastClock returns the reading, in milliseconds, that the worker's clock has certainly reached.
func (ws *workerState) leastClock(now boottime.Instant) int64 {
	if ws.leastClockAt == 0 {
		return 0
	}
	passed := max(0, now.Sub(ws.leastClockAt))
	return ws.leastClockMS + int64(float64(passed.Milliseconds())*(1-maxClockDrift))
}

// unknownZoneRetention is how long a zone without registered workers counts as just returned to service. Its workers may
// not have registered yet.
const unknownZoneRetention = time.Minute

// dropReturnedZones forgets the return of zones whose workers are all used again.
func (l *leader) dropReturnedZones(now boottime.Instant) {
	returnedAt := l.evacuation.returnedAt
	if len(returnedAt) == 0 {
		return
	}
	workers := make(map[string]int)
	for _, ws := range l.workers {
		if ws.registered {
			workers[ws.info.Zone]++
		}
	}
	for zone, at := range returnedAt {
		n, since := workers[zone], now.Sub(at)
		if evacuation.Admitted(n, since) >= n && (n > 0 || since > unknownZoneRetention) {
			delete(returnedAt, zone)
		}
	}
}

// closedByEvacuation returns the workers that get no work because their zone is evacuated, or has returned to service so
// lately that only a part of its workers is used. Of the workers of such a zone, those that are not cold are used first, and
// then whole racks. It changes no state: explanations call it as well.
func (l *leader) closedByEvacuation(now boottime.Instant) map[*workerState]bool {
	s := &l.evacuation
	if len(s.zones) == 0 && len(s.returnedAt) == 0 {
		return nil
	}
	closed := make(map[*workerState]bool)
	returned := make(map[string][]*workerState)
	for _, ws := range l.workers {
		if l.evacuated(ws) {
			closed[ws] = true
		} else if _, known := s.returnedAt[ws.info.Zone]; known && ws.registered {
			returned[ws.info.Zone] = append(returned[ws.info.Zone], ws)
		}
	}
	for zone, at := range s.returnedAt {
		workers := returned[zone]
		admitted := evacuation.Admitted(len(workers), now.Sub(at))
		if admitted >= len(workers) {
			continue
		}
		slices.SortFunc(workers, func(a, b *workerState) int {
			return cmp.Or(compareCold(a, b, now), cmp.Compare(a.info.Rack, b.info.Rack), cmp.Compare(a.id, b.id))
		})
		for _, ws := range workers[admitted:] {
			closed[ws] = true
		}
	}
	return closed
}

// compareCold orders cold workers after the others.
func compareCold(a, b *workerState, now boottime.Instant) int {
	coldA, coldB := now < a.coldUntil, now < b.coldUntil
	switch {
	case coldA == coldB:
		return 0
	case coldB:
		return -1
	default:
		return 1
	}
}

// suitsEvacuated reports whether a worker in an evacuated zone could run tasks of a unit, as far as is known without advice.
func (l *leader) suitsEvacuated(u *unit) bool {
	for _, ws := range l.workers {
		if ws.registered && ws.info.State == worker.Ready && l.evacuated(ws) && u.mayUse(availableWorker{workerState: ws}) {
			return true
		}
	}
	return false
}
