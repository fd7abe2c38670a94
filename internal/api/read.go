package api

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"github.com/oleanderbend/oleanderbend/internal/resource"
	"github.com/oleanderbend/oleanderbend/internal/state"
)

// Limits of lists.
const (
	defaultListLimit = 500
	maxListLimit     = 2000
	maxSelectorBytes = 1024
)

func (a *API) get(w http.ResponseWriter, r *http.Request) error {
	kind, name := resource.Kind(r.PathValue("kind")), r.PathValue("name")
	if _, err := resource.New(kind); err != nil {
		return unknownKind(string(kind))
	}
	var object resource.Object
	found := false
	a.deps.Reader.Read(func(s *state.State) { object, found = s.Lookup(kind, name) })
	if !found {
		if kind == resource.KindPolicy {
			return problem(http.StatusNotFound, "there is no policy %q; the defaults are in force", name)
		}
		return problem(http.StatusNotFound, "%s has no %q", kind, name)
	}
	if kind == resource.KindPolicy {
		return a.writePolicy(w, object)
	}
	return writeObject(w, http.StatusOK, object)
}

func (a *API) listOrWatch(w http.ResponseWriter, r *http.Request) error {
	kind := resource.Kind(r.PathValue("kind"))
	if _, err := resource.New(kind); err != nil {
		return unknownKind(string(kind))
	}
	query := r.URL.Query()
	match, err := parseSelector(query.Get("selector"))
	if err != nil {
		return err
	}
	if query.Get("watch") != "" && query.Get("watch") != "0" {
		return a.watch(w, r, kind, match)
	}
	return a.list(w, kind, match, query)
}

func (a *API) list(w http.ResponseWriter, kind resource.Kind, match selector, query url.Values) error {
	limit, err := listLimit(query.Get("limit"))
	if err != nil {
		return err
	}
	after, err := parseContinue(kind, query.Get("continue"))
	if err != nil {
		return err
	}
	list := List{Kind: kind, Items: []json.RawMessage{}}
	var objects []resource.Object
	a.deps.Reader.Read(func(s *state.State) {
		list.ResourceVersion = uint64(s.Applied)
		objects = selectObjects(s, kind, match, after)
	})
	if len(objects) > limit {
		objects = objects[:limit]
		list.Continue = continueToken(kind, objects[limit-1].Meta().Name)
	}
	for _, object := range objects {
		data, err := EncodeObject(object)
		if err != nil {
			return err
		}
		list.Items = append(list.Items, data)
	}
	return writeJSON(w, http.StatusOK, list)
}

// selectObjects returns the objects of a kind that match the selector and whose name is greater
// than after, sorted by name.
func selectObjects(s *state.State, kind resource.Kind, match selector, after string) []resource.Object {
	var objects []resource.Object
	s.Each(kind, func(object resource.Object) {
		if object.Meta().Name > after && match.matches(object.Meta().Labels) {
			objects = append(objects, object)
		}
	})
	slices.SortFunc(objects, func(x, y resource.Object) int { return strings.Compare(x.Meta().Name, y.Meta().Name) })
	return objects
}

func listLimit(text string) (int, error) {
	if text == "" {
		return defaultListLimit, nil
	}
	limit, err := strconv.Atoi(text)
	if err != nil || limit < 1 || limit > maxListLimit {
		return 0, problem(http.StatusBadRequest, "limit must be from 1 to %d", maxListLimit)
	}
	return limit, nil
}

// continueToken encodes the position after which the next page begins. Each page is read from the
// state at the time of its request, so an object that changes between two pages is returned in its
// newest form.
func continueToken(kind resource.Kind, name string) string {
	return base64.RawURLEncoding.EncodeToString([]byte(string(kind) + "/" + name))
}

// parseContinue returns the name after which the page begins.
func parseContinue(kind resource.Kind, token string) (string, error) {
	if token == "" {
		return "", nil
	}
	data, err := base64.RawURLEncoding.DecodeString(token)
	after, ok := strings.CutPrefix(string(data), string(kind)+"/")
	if err != nil || !ok {
		return "", problem(http.StatusBadRequest, "the continue token is not one of a list of %s", kind)
	}
	return after, nil
}

// requirement is one term of a selector.
type requirement struct {
	key, value string
	// equal requires the value; notEqual requires another value or no such label. With neither
	// set, the label must exist.
	equal, notEqual bool
}

// selector matches labels. All requirements must be met.
type selector []requirement

// parseSelector parses a comma-separated list of terms such as "team=a,tier!=b,batch".
func parseSelector(text string) (selector, error) {
	if len(text) > maxSelectorBytes {
		return nil, problem(http.StatusBadRequest, "the selector exceeds %d bytes", maxSelectorBytes)
	}
	if text == "" {
		return nil, nil
	}
	var s selector
	for term := range strings.SplitSeq(text, ",") {
		var r requirement
		if key, value, found := strings.Cut(term, "!="); found {
			r = requirement{key: key, value: value, notEqual: true}
		} else if key, value, found := strings.Cut(term, "="); found {
			r = requirement{key: key, value: value, equal: true}
		} else {
			r = requirement{key: term}
		}
		r.key = strings.TrimSpace(r.key)
		r.value = strings.TrimSpace(r.value)
		if r.key == "" {
			return nil, problem(http.StatusBadRequest, "the selector term %q has no label", term)
		}
		s = append(s, r)
	}
	return s, nil
}

func (s selector) matches(labels map[string]string) bool {
	for _, r := range s {
		value, found := labels[r.key]
		ok := found
		switch {
		case r.equal:
			ok = found && value == r.value
		case r.notEqual:
			ok = !found || value != r.value
		}
		if !ok {
			return false
		}
	}
	return true
}
