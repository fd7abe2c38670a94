package cli

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/oleanderbend/oleanderbend/internal/resource"
)

// sameLabels reports whether two resources have the same labels.
func sameLabels(a, b resource.Object) bool { return maps.Equal(a.Meta().Labels, b.Meta().Labels) }

// diffSpecs lists the fields of spec and labels that differ, as "field old -> new".
func diffSpecs(before, after resource.Object) string {
	old, current := flatten(before), flatten(after)
	keys := slices.Concat(slices.Collect(maps.Keys(old)), slices.Collect(maps.Keys(current)))
	slices.Sort(keys)
	var parts []string
	for _, key := range slices.Compact(keys) {
		if old[key] != current[key] {
			parts = append(parts, fmt.Sprintf("%s %s -> %s", key, orNone(old[key]), orNone(current[key])))
		}
	}
	return strings.Join(parts, ", ")
}

func orNone(text string) string {
	if text == "" {
		return "(unset)"
	}
	return text
}

// flatten returns the values of spec and labels by their path.
func flatten(object resource.Object) map[string]string {
	values := make(map[string]string)
	data, err := json.Marshal(object)
	if err != nil {
		return values
	}
	var tree map[string]any
	if json.Unmarshal(data, &tree) != nil {
		return values
	}
	flattenInto(values, "spec", tree["spec"])
	for key, value := range object.Meta().Labels {
		values["labels."+key] = value
	}
	return values
}

func flattenInto(values map[string]string, path string, node any) {
	if branch, ok := node.(map[string]any); ok {
		for key, child := range branch {
			flattenInto(values, path+"."+key, child)
		}
		return
	}
	values[path] = fmt.Sprint(node)
}
