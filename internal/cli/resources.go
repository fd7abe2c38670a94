package cli

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/oleanderbend/oleanderbend/internal/api"
	"github.com/oleanderbend/oleanderbend/internal/resource"
	"github.com/oleanderbend/oleanderbend/internal/settings"
)

// maxResourceFileBytes limits the size of a file of resources.
const maxResourceFileBytes = 16 << 20

// entry is one resource of a file.
type entry[S any] struct {
	Metadata resource.Metadata `toml:"metadata"`
	Spec     S                 `toml:"spec"`
}

// resourceFile is the TOML form of a file of resources.
type resourceFile struct {
	Organisations []entry[resource.OrganisationSpec] `toml:"organisations"`
	Guarantees    []entry[resource.GuaranteeSpec]    `toml:"guarantees"`
	Policies      []entry[resource.PolicySpec]       `toml:"policies"`
	Jobs          []entry[resource.JobSpec]          `toml:"jobs"`
}

// objects returns the resources in the order in which they must be written: a resource comes after
// those that it can refer to.
func (f resourceFile) objects() []resource.Object {
	var objects []resource.Object
	for _, e := range f.Organisations {
		objects = append(objects, &resource.Organisation{Metadata: e.Metadata, Spec: e.Spec})
	}
	for _, e := range f.Policies {
		objects = append(objects, &resource.Policy{Metadata: e.Metadata, Spec: e.Spec})
	}
	for _, e := range f.Guarantees {
		objects = append(objects, &resource.Guarantee{Metadata: e.Metadata, Spec: e.Spec})
	}
	for _, e := range f.Jobs {
		objects = append(objects, &resource.Job{Metadata: e.Metadata, Spec: e.Spec})
	}
	return objects
}

// readResources reads a file of resources in TOML or JSON; "-" is standard input. It returns all
// problems in the content of the file together as a *settings.Error.
func readResources(file string, stdin io.Reader) ([]resource.Object, error) {
	data, err := readInput(file, stdin)
	if err != nil {
		return nil, err
	}
	return parseResources(file, data)
}

func readInput(file string, stdin io.Reader) ([]byte, error) {
	input := stdin
	if file != "-" {
		f, err := os.Open(file)
		if err != nil {
			return nil, eris.Wrap(errUsage, err.Error())
		}
		defer func() { _ = f.Close() }()
		input = f
	}
	data, err := io.ReadAll(io.LimitReader(input, maxResourceFileBytes+1))
	if err != nil {
		return nil, eris.Wrap(errUsage, err.Error())
	}
	if len(data) > maxResourceFileBytes {
		return nil, eris.Wrapf(errUsage, "%s exceeds %d bytes", file, maxResourceFileBytes)
	}
	return data, nil
}

// parseResources parses and validates the content of a file of resources.
func parseResources(file string, data []byte) ([]resource.Object, error) {
	var objects []resource.Object
	var err error
	if trimmed := bytes.TrimSpace(data); len(trimmed) > 0 && trimmed[0] == '{' {
		objects, err = parseJSON(file, data)
	} else {
		var parsed resourceFile
		err = settings.DecodeStrict(file, data, &parsed)
		objects = parsed.objects()
	}
	if err != nil {
		return nil, err
	}
	if problems := checkObjects(objects); len(problems) > 0 {
		return nil, &settings.Error{File: file, Problems: problems}
	}
	return objects, nil
}

// checkObjects returns all invalid fields, and names that occur twice.
func checkObjects(objects []resource.Object) []settings.Problem {
	var problems []settings.Problem
	if len(objects) == 0 {
		problems = append(problems, settings.Problem{Key: "file", Rule: "has no resources"})
	}
	seen := make(map[string]bool)
	for _, object := range objects {
		key := resourceKey(object)
		if seen[key] {
			problems = append(problems, settings.Problem{Key: key, Rule: "occurs twice"})
		}
		seen[key] = true
		for _, e := range object.Validate() {
			problems = append(problems, settings.Problem{Key: key + ": " + e.Field, Rule: fmt.Sprintf("%q must be %s", e.Value, e.Rule)})
		}
	}
	return problems
}

func resourceKey(object resource.Object) string {
	return string(object.Kind()) + "/" + object.Meta().Name
}

// parseJSON parses one resource or a list, in the format printed by `get -o json`.
func parseJSON(file string, data []byte) ([]resource.Object, error) {
	var head struct {
		Kind  resource.Kind      `json:"kind"`
		Items *[]json.RawMessage `json:"items"`
	}
	if err := json.Unmarshal(data, &head); err != nil {
		return nil, &settings.Error{File: file, Problems: []settings.Problem{{Key: "file", Rule: err.Error()}}}
	}
	items := []json.RawMessage{data}
	if head.Items != nil {
		items = *head.Items
	}
	var objects []resource.Object
	var problems []settings.Problem
	for i, item := range items {
		object, err := api.DecodeObject(head.Kind, item)
		if err != nil {
			problems = append(problems, settings.Problem{Key: fmt.Sprintf("items[%d]", i), Rule: problemDetail(err)})
			continue
		}
		objects = append(objects, object)
	}
	if len(problems) > 0 {
		return nil, &settings.Error{File: file, Problems: problems}
	}
	return objects, nil
}

// problemDetail returns the detail of an *api.Problem, without its status, or the text of another error.
func problemDetail(err error) string {
	var p *api.Problem
	if errors.As(err, &p) {
		return p.Detail
	}
	return err.Error()
}

// kindAliases are the names that commands accept for a kind besides its plural.
var kindAliases = map[string]resource.Kind{
	"job": resource.KindJob, "guarantee": resource.KindGuarantee,
	"organisation": resource.KindOrganisation, "org": resource.KindOrganisation, "orgs": resource.KindOrganisation,
	"policy": resource.KindPolicy,
}

// parseKind accepts the name of a kind in the singular or plural.
func parseKind(name string) (resource.Kind, error) {
	name = strings.ToLower(name)
	if kind, found := kindAliases[name]; found {
		return kind, nil
	}
	if slices.Contains(resource.Kinds(), resource.Kind(name)) {
		return resource.Kind(name), nil
	}
	return "", eris.Wrapf(errUsage, "unknown kind %q; the kinds are organisations, guarantees, policies and jobs", name)
}
