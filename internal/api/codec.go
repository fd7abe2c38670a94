package api

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"reflect"
	"strconv"
	"strings"

	"github.com/oleanderbend/oleanderbend/internal/resource"
)

// List is the response to a list request.
type List struct {
	Kind resource.Kind `json:"kind"`
	// ResourceVersion is the log offset of the state from which the list was read. A watch from
	// this version delivers every later change.
	ResourceVersion uint64            `json:"resourceVersion"`
	Items           []json.RawMessage `json:"items"`
	// Continue is the token of the next page, empty on the last one.
	Continue string `json:"continue,omitempty"`
}

// EncodeObject returns a resource as a JSON object whose first member is its kind.
func EncodeObject(object resource.Object) (json.RawMessage, error) {
	data, err := json.Marshal(object)
	if err != nil {
		return nil, err
	}
	head := append([]byte(`{"kind":`), strconv.Quote(string(object.Kind()))...)
	return append(append(head, ','), data[1:]...), nil
}

// DecodeObject parses a JSON resource of the given kind and rejects unknown fields. Errors in the
// input are returned as a *Problem.
func DecodeObject(kind resource.Kind, data []byte) (resource.Object, error) {
	object, err := resource.New(kind)
	if err != nil {
		return nil, unknownKind(string(kind))
	}
	members := map[string]json.RawMessage{}
	if err := json.Unmarshal(data, &members); err != nil {
		return nil, syntaxProblem(data, err)
	}
	if members == nil {
		return nil, fieldProblem("body", "null", "an object")
	}
	given, hasKind := members["kind"]
	_, hasInForce := members["inForce"]
	if hasKind {
		var name resource.Kind
		if json.Unmarshal(given, &name) != nil || name != kind {
			return nil, fieldProblem("kind", string(given), "equal to the kind in the path, "+string(kind))
		}
	}
	if hasKind || hasInForce && kind == resource.KindPolicy {
		delete(members, "kind")
		if kind == resource.KindPolicy {
			// Responses for policies have this member. It is dropped so that clients can send a
			// response back unchanged.
			delete(members, "inForce")
		}
		if data, err = json.Marshal(members); err != nil {
			return nil, err
		}
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(object); err != nil {
		return nil, syntaxProblem(data, err)
	}
	return object, nil
}

// syntaxProblem converts a decoding error to a Problem that has the position of malformed JSON, or
// the field that is unknown or has a value of the wrong type.
func syntaxProblem(data []byte, err error) *Problem {
	var syntax *json.SyntaxError
	var typed *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		line, column := position(data, syntax.Offset)
		return problem(http.StatusBadRequest, "malformed JSON at line %d column %d: %v", line, column, err)
	case errors.As(err, &typed):
		field := typed.Field
		if field == "" {
			field = "body"
		}
		return fieldProblem(field, typed.Value, "of type "+jsonType(typed.Type))
	}
	// encoding/json has no error type for unknown fields, so the text is matched.
	if field, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return fieldProblem(strings.Trim(field, `"`), "", "absent: the kind has no such field")
	}
	return problem(http.StatusBadRequest, "%v", err)
}

// jsonType returns the JSON name of a Go type.
func jsonType(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "string"
	case reflect.Bool:
		return "boolean"
	case reflect.Struct, reflect.Map:
		return "object"
	case reflect.Slice, reflect.Array:
		return "array"
	case reflect.Float32, reflect.Float64:
		return "number"
	default:
		return "integer (" + t.String() + ")"
	}
}

// position converts a byte offset to a line and column, both counted from 1.
func position(data []byte, offset int64) (line, column int) {
	before := data[:min(int(offset), len(data))]
	line = 1 + bytes.Count(before, []byte("\n"))
	return line, len(before) - bytes.LastIndexByte(before, '\n')
}

func fieldProblem(field, value, rule string) *Problem {
	errs := resource.FieldErrors{{Field: field, Value: value, Rule: rule}}
	return fieldsProblem(errs)
}

func fieldsProblem(errs resource.FieldErrors) *Problem {
	p := problem(http.StatusUnprocessableEntity, "%s", errs.Error())
	p.Outcome, p.Fields = OutcomeRejected, errs
	return p
}

func unknownKind(kind string) *Problem {
	return problem(http.StatusNotFound, "there is no kind %q; the kinds are organisations, guarantees, policies and jobs", kind)
}

// readBody reads a request body. A body longer than maxBodyBytes is rejected with status 413.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, problem(http.StatusRequestEntityTooLarge, "the body exceeds %d bytes", maxBodyBytes)
	case err != nil:
		return nil, problem(http.StatusBadRequest, "the body could not be read: %v", err)
	}
	return data, nil
}

func writeJSON(w http.ResponseWriter, status int, value any) error {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	return json.NewEncoder(w).Encode(value)
}

// writeObject writes a resource as the response, with its version as the entity tag.
func writeObject(w http.ResponseWriter, status int, object resource.Object) error {
	data, err := EncodeObject(object)
	if err != nil {
		return err
	}
	w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(object.Meta().ResourceVersion, 10)))
	return writeJSON(w, status, data)
}
