package standin

import (
	"slices"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/platform"
)

// Run is one interval in which the lease of a member of a gang was running on a worker.
type Run struct {
	Worker string           `json:"worker"`
	ID     platform.LeaseID `json:"id"`
	// Members is the size of the gang.
	Members int       `json:"members"`
	From    time.Time `json:"from"`
	// To is the end of the run; zero while the lease is running.
	To time.Time `json:"to,omitzero"`
	// EndState is the state of the lease after the run; empty while the lease is running.
	EndState platform.LeaseState `json:"end,omitempty"`
}

// AttemptID identifies one attempt of a job.
type AttemptID struct {
	JobUID  string
	Attempt uint64
}

// LongestPartialTimes returns, for each attempt, the longest continuous time in which only a part
// of the gang was present: at least one member was running, and at least one member neither was
// running nor had succeeded. Runs without an end count up to now. Each member must run at most once
// per attempt, because runs are counted, not members.
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

// longestPartial computes the longest partial time of one attempt from the starts and ends of its
// runs, in time order. A member is present while it is running and after it has succeeded.
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
