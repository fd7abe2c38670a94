package standin

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/platform"
)

// Instances is the stand-in for the platform's instance list. A change becomes visible in the list
// only after a lag. It is safe for concurrent use.
type Instances struct {
	clock    Clock
	lag      time.Duration
	injector faultInjector

	mu sync.Mutex
	// versions contains the list after each change, oldest first. The rows of a version are not
	// modified.
	versions []listVersion
}

type listVersion struct {
	changedAt time.Time
	rows      []platform.Instance
}

// NewInstances returns a list with the given rows, which are visible at once. Later changes become
// visible after lag. A nil clock stands for the system clock.
func NewInstances(clock Clock, lag time.Duration, rows []platform.Instance) *Instances {
	clock = clockOrSystem(clock)
	first := listVersion{changedAt: clock.Now().Add(-lag), rows: slices.Clone(rows)}
	return &Instances{clock: clock, lag: lag, injector: faultInjector{clock: clock}, versions: []listVersion{first}}
}

// SetFaults replaces the faults.
func (i *Instances) SetFaults(f CallFaults) { i.injector.setFaults(f) }

// Put adds a row or replaces the one with the same id.
func (i *Instances) Put(row platform.Instance) {
	i.change(func(rows []platform.Instance) []platform.Instance {
		at := slices.IndexFunc(rows, func(r platform.Instance) bool { return r.ID == row.ID })
		if at < 0 {
			return append(rows, row)
		}
		rows[at] = row
		return rows
	})
}

// SetState changes the state of one instance. It returns ErrNotFound for an unknown id.
func (i *Instances) SetState(id string, state platform.InstanceState) error {
	found := false
	i.change(func(rows []platform.Instance) []platform.Instance {
		for n := range rows {
			if rows[n].ID == id {
				rows[n].State, found = state, true
			}
		}
		return rows
	})
	if !found {
		return fmt.Errorf("%w: instance %q", ErrNotFound, id)
	}
	return nil
}

// Remove removes an instance from the list. It has no effect if the id is unknown.
func (i *Instances) Remove(id string) {
	i.change(func(rows []platform.Instance) []platform.Instance {
		return slices.DeleteFunc(rows, func(r platform.Instance) bool { return r.ID == id })
	})
}

// Current returns the newest version of the list, regardless of the lag.
func (i *Instances) Current() []platform.Instance {
	i.mu.Lock()
	defer i.mu.Unlock()
	return slices.Clone(i.versions[len(i.versions)-1].rows)
}

// List implements platform.Instances.
func (i *Instances) List(ctx context.Context) ([]platform.Instance, error) {
	var rows []platform.Instance
	if err := i.injector.read(ctx, func() { rows = i.visible() }); err != nil {
		return nil, err
	}
	return rows, nil
}

// visible returns the newest version that is at least as old as the lag, and drops the versions
// before it.
func (i *Instances) visible() []platform.Instance {
	i.mu.Lock()
	defer i.mu.Unlock()
	cutoff := i.clock.Now().Add(-i.lag)
	n := 0
	for n+1 < len(i.versions) && !i.versions[n+1].changedAt.After(cutoff) {
		n++
	}
	i.versions = i.versions[n:]
	return slices.Clone(i.versions[0].rows)
}

// change appends a version with the rows that edit returns. edit can modify its argument.
func (i *Instances) change(edit func([]platform.Instance) []platform.Instance) {
	i.mu.Lock()
	defer i.mu.Unlock()
	rows := slices.Clone(i.versions[len(i.versions)-1].rows)
	i.versions = append(i.versions, listVersion{changedAt: i.clock.Now(), rows: edit(rows)})
}
