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

// Values of WatchLine.Type.
const (
	// WatchPut carries a resource that exists at the start, was created, or was changed.
	WatchPut = "put"
	// WatchDelete names a resource that was removed or no longer matches the selector.
	WatchDelete = "delete"
	// WatchSync marks that all changes up to its version have been sent.
	WatchSync = "sync"
)

// WatchLine is one line of a watch response.
type WatchLine struct {
	Type string `json:"type"`
	// Version is the version of the watch in a sync line, and that of the change in a line for a
	// change. A later watch can resume from that of a sync line, or from that of a change once all
	// changes with this version have been received. In the lines for the resources that exist when
	// the watch begins it is the version of the resource, from which a watch must not resume.
	Version uint64          `json:"resourceVersion"`
	Name    string          `json:"name,omitempty"`
	Object  json.RawMessage `json:"object,omitempty"`
}

const (
	// maxWatches limits the concurrent watches on one instance.
	maxWatches = 128
	// watchBatch is the target number of changes that a watch reads under one lock. A batch is
	// only larger if several changes have the offset of its last change.
	watchBatch = 256
	// syncPeriod is the interval of sync lines. Writing them also detects lost connections.
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

// watch streams the changes of a kind as JSON lines. Without the query parameter from, the stream
// begins with a line for each existing resource.
func (a *API) watch(w http.ResponseWriter, r *http.Request, kind resource.Kind, match selector) error {
	from, resume, err := parseFrom(r.URL.Query().Get("from"))
	if err != nil {
		return err
	}
	if a.watches.Add(1) > maxWatches {
		a.watches.Add(-1)
		return problem(http.StatusTooManyRequests, "this instance serves %d watches already; try another one", maxWatches)
	}
	defer a.watches.Add(-1)
	if resume {
		if _, ok := a.changes(from); !ok {
			return versionGoneProblem(from)
		}
	}
	watch := &watcher{api: a, kind: kind, match: match, w: w, control: http.NewResponseController(w), version: from}
	w.Header().Set("Content-Type", "application/jsonl")
	w.WriteHeader(http.StatusOK)
	var lines []WatchLine
	if !resume {
		lines = watch.initialLines()
	}
	if err := watch.send(append(lines, watch.syncLine())); err != nil {
		return nil
	}
	return watch.follow(r)
}

// parseFrom returns the version to resume from, or false if text is empty.
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

func versionGoneProblem(from platform.Offset) *Problem {
	return problem(http.StatusGone, "the changes since version %d are no longer kept; list the resources and watch from the list's resourceVersion", from)
}

// changes returns a copy of up to watchBatch changes after an offset, or false if the changes since
// then are no longer retained.
func (a *API) changes(after platform.Offset) (batch []state.Change, ok bool) {
	a.deps.Reader.Read(func(s *state.State) {
		var all []state.Change
		if all, ok = s.Changes(after); ok {
			batch = append(batch, all[:min(watchBatch, len(all))]...)
		}
	})
	return batch, ok
}

// initialLines returns a put line for each matching resource and sets the version of the watch.
func (w *watcher) initialLines() []WatchLine {
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

// follow sends changes until the caller disconnects, the instance stops, or the changes after the
// last one sent are no longer retained.
func (w *watcher) follow(r *http.Request) error {
	ticker := time.NewTicker(syncPeriod)
	defer ticker.Stop()
	for {
		changed := w.api.deps.Reader.Changed()
		lines, more, ok := w.next()
		if !ok {
			// Closing the stream makes the caller resume, which then returns status 410.
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

// next returns the lines for the next batch of changes and advances the version of the watch. more
// reports that further changes are available; ok is false if the changes are no longer retained.
func (w *watcher) next() (lines []WatchLine, more, ok bool) {
	var objects []resource.Object
	var changes []state.Change
	w.api.deps.Reader.Read(func(s *state.State) {
		var all []state.Change
		if all, ok = s.Changes(w.version); !ok {
			return
		}
		changes, more = copyBatch(all)
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

// copyBatch copies the first watchBatch changes and all further ones with the offset of the last
// copied one, because a watch can only resume between two offsets. more reports whether changes
// remain.
func copyBatch(all []state.Change) (batch []state.Change, more bool) {
	end := min(watchBatch, len(all))
	for end < len(all) && all[end].Offset == all[end-1].Offset {
		end++
	}
	return append(batch, all[:end]...), end < len(all)
}

// line returns the line for a change, or false if none is sent. An object that has changed again
// since is sent for the last change only. An object that no longer matches the selector is sent as
// deleted.
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

// send writes and flushes lines. It returns an error if that takes longer than responseTimeout
// because the caller reads too slowly.
func (w *watcher) send(lines []WatchLine) error {
	if err := w.control.SetWriteDeadline(time.Now().Add(responseTimeout)); err != nil {
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
