package api

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/platform"
	"github.com/oleanderbend/oleanderbend/internal/resource"
	"github.com/oleanderbend/oleanderbend/internal/state"
)

// Types of watch lines.
const (
	// WatchPut shows a resource that exists.
	WatchPut = "put"
	// WatchDelete names a resource that was removed.
	WatchDelete = "delete"
	// WatchSync says that all changes up to its version have been sent.
	WatchSync = "sync"
)

// WatchLine is one line of a watch.
type WatchLine struct {
	Type string `json:"type"`
	// Version is where a later watch can resume.
	Version uint64          `json:"resourceVersion"`
	Name    string          `json:"name,omitempty"`
	Object  json.RawMessage `json:"object,omitempty"`
}

const (
	// maxWatches bounds the watches of one instance.
	maxWatches = 128
	// watchBatch is the most changes that are read under one lock.
	watchBatch = 256
	// syncPeriod is how often an idle watch gets a sync line, which also finds lost callers.
	syncPeriod = 10 * time.Second
)

// watcher is one watch in progress.
type watcher struct {
	api     *API
	kind    resource.Kind
	match   selector
	w       http.ResponseWriter
	control *http.ResponseController
	version platform.Offset
}

// watch streams the changes of a kind. Without from it begins with all resources.
func (a *API) watch(w http.ResponseWriter, r *http.Request, kind resource.Kind, match selector) error {
	from, resumes, err := parseFrom(r.URL.Query().Get("from"))
	if err != nil {
		return err
	}
	if a.watches.Add(1) > maxWatches {
		a.watches.Add(-1)
		return problem(http.StatusTooManyRequests, "this instance serves %d watches already; try another one", maxWatches)
	}
	defer a.watches.Add(-1)
	if resumes {
		if _, ok := a.changes(from); !ok {
			return tooOld(from)
		}
	}
	watch := &watcher{api: a, kind: kind, match: match, w: w, control: http.NewResponseController(w), version: from}
	w.Header().Set("Content-Type", "application/jsonl")
	w.WriteHeader(http.StatusOK)
	var lines []WatchLine
	if !resumes {
		lines = watch.initial()
	}
	if err := watch.send(append(lines, watch.syncLine())); err != nil {
		return nil
	}
	return watch.follow(r)
}

func parseFrom(text string) (platform.Offset, bool, error) {
	if text == "" {
		return 0, false, nil
	}
	from, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, false, problem(http.StatusBadRequest, "from must be a resource version")
	}
	return platform.Offset(from), true, nil
}

func tooOld(from platform.Offset) *Problem {
	return problem(http.StatusGone, "the changes since version %d are no longer kept; list the resources and watch from the list's resourceVersion", from)
}

// changes returns a copy of up to watchBatch changes after an offset.
func (a *API) changes(after platform.Offset) (batch []state.Change, ok bool) {
	a.deps.Reader.Read(func(s *state.State) {
		var all []state.Change
		if all, ok = s.Changes(after); ok {
			batch = append(batch, all[:min(watchBatch, len(all))]...)
		}
	})
	return batch, ok
}

// initial returns a line for each resource.
func (w *watcher) initial() []WatchLine {
	var objects []resource.Object
	w.api.deps.Reader.Read(func(s *state.State) {
		w.version = s.Applied
		objects = selectObjects(s, w.kind, w.match, "")
	})
	lines := make([]WatchLine, 0, len(objects)+1)
	for _, object := range objects {
		if line, ok := putLine(object); ok {
			lines = append(lines, line)
		}
	}
	return lines
}

func putLine(object resource.Object) (WatchLine, bool) {
	data, err := EncodeObject(object)
	if err != nil {
		return WatchLine{}, false
	}
	meta := object.Meta()
	return WatchLine{Type: WatchPut, Version: meta.ResourceVersion, Name: meta.Name, Object: data}, true
}

func (w *watcher) syncLine() WatchLine {
	return WatchLine{Type: WatchSync, Version: uint64(w.version)}
}

// follow sends changes until the caller leaves, the instance stops or changes were missed.
func (w *watcher) follow(r *http.Request) error {
	ticker := time.NewTicker(syncPeriod)
	defer ticker.Stop()
	for {
		changed := w.api.deps.Reader.Changed()
		lines, more, ok := w.next()
		if !ok {
			// The caller finds the stream cut and gets 410 when it resumes.
			return nil
		}
		if len(lines) > 0 && w.send(lines) != nil {
			return nil
		}
		if more {
			continue
		}
		select {
		case <-changed:
		case <-ticker.C:
			if w.send([]WatchLine{w.syncLine()}) != nil {
				return nil
			}
		case <-w.api.stopping:
			return nil
		case <-r.Context().Done():
			return nil
		}
	}
}

// next returns the lines of the next changes, and whether there may be more.
func (w *watcher) next() (lines []WatchLine, more, ok bool) {
	var objects []resource.Object
	var changes []state.Change
	w.api.deps.Reader.Read(func(s *state.State) {
		var all []state.Change
		if all, ok = s.Changes(w.version); !ok {
			return
		}
		changes, more = wholeOffsets(all)
		objects = make([]resource.Object, len(changes))
		for i, c := range changes {
			if c.Kind == w.kind && !c.Deleted {
				objects[i], _ = s.Lookup(c.Kind, c.Name)
			}
		}
		if !more && s.Applied > w.version {
			w.version = s.Applied
		} else if len(changes) > 0 {
			w.version = changes[len(changes)-1].Offset
		}
	})
	for i, c := range changes {
		if line, send := w.line(c, objects[i]); send {
			lines = append(lines, line)
		}
	}
	return lines, more, ok
}

// wholeOffsets copies about watchBatch changes, and all that have the offset of the last one,
// so that a watch can resume after it.
func wholeOffsets(all []state.Change) (batch []state.Change, more bool) {
	end := min(watchBatch, len(all))
	for end < len(all) && all[end].Offset == all[end-1].Offset {
		end++
	}
	return append(batch, all[:end]...), end < len(all)
}

// line returns the line for a change. An object that changed again later is sent with the
// later change only. One that no longer matches the selector is sent as deleted.
func (w *watcher) line(c state.Change, object resource.Object) (WatchLine, bool) {
	if c.Kind != w.kind {
		return WatchLine{}, false
	}
	deleted := WatchLine{Type: WatchDelete, Version: uint64(c.Offset), Name: c.Name}
	if c.Deleted {
		return deleted, true
	}
	if object == nil || object.Meta().ResourceVersion != uint64(c.Offset) {
		return WatchLine{}, false
	}
	if !w.match.matches(object.Meta().Labels) {
		return deleted, true
	}
	return putLine(object)
}

// send writes lines. A caller that reads too slowly is cut off after answerTimeout.
func (w *watcher) send(lines []WatchLine) error {
	if err := w.control.SetWriteDeadline(time.Now().Add(answerTimeout)); err != nil {
		return err
	}
	encoder := json.NewEncoder(w.w)
	for _, line := range lines {
		if err := encoder.Encode(line); err != nil {
			return err
		}
	}
	return w.control.Flush()
}
