package standin

import (
	"slices"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/platform"
)

// Run is one interval in which a member was allowed to run on its worker.
type Run struct {
	Worker string           `json:"worker"`
	ID     platform.LeaseID `json:"id"`
	// Members is the size of the gang.
	Members int       `json:"members"`
	From    time.Time `json:"from"`
	// To is zero while the member runs.
	To time.Time `json:"to,omitzero"`
	// EndState is the lease's state after the run.
	EndState platform.LeaseState `json:"end,omitempty"`
}

// AttemptID identifies one attempt of a job.
type AttemptID struct {
	JobUID  string
	Attempt uint64
}

// LongestPartialTimes returns for each attempt the longest time without interruption in which some
// of its members were running or had succeeded, at least one was running, and another was
// neither running nor succeeded. Open intervals count up to now.
func LongestPartialTimes(runs []Run, now time.Time) map[AttemptID]time.Duration {
	byAttempt := make(map[AttemptID][]Run)
	for _, run := range runs {
		id := AttemptID{run.ID.JobUID, run.ID.Attempt}
		byAttempt[id] = append(byAttempt[id], run)
	}
	longest := make(map[AttemptID]time.Duration, len(byAttempt))
	for id, members := range byAttempt {
		longest[id] = longestPartial(members, now)
	}
	return longest
}

// longestPartial walks over the starts and ends of the runs of one attempt in time order.
func longestPartial(runs []Run, now time.Time) time.Duration {
	type edge struct {
		at               time.Time
		running, present int
	}
	var edges []edge
	for _, run := range runs {
		edges = append(edges, edge{at: run.From, running: 1, present: 1})
		switch {
		case run.To.IsZero():
		case run.EndState == platform.LeaseSucceeded:
			edges = append(edges, edge{at: run.To, running: -1})
		default:
			edges = append(edges, edge{at: run.To, running: -1, present: -1})
		}
	}
	slices.SortStableFunc(edges, func(a, b edge) int { return a.at.Compare(b.at) })
	var (
		running, present int
		since            time.Time
		longest          time.Duration
	)
	for i, e := range edges {
		running += e.running
		present += e.present
		if i+1 < len(edges) && edges[i+1].at.Equal(e.at) {
			continue
		}
		partial := running > 0 && present < runs[0].Members
		switch {
		case partial && since.IsZero():
			since = e.at
		case !partial && !since.IsZero():
			longest = max(longest, e.at.Sub(since))
			since = time.Time{}
		}
	}
	if !since.IsZero() {
		longest = max(longest, now.Sub(since))
	}
	return longest
}
