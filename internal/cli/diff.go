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

// diffSpecs returns the fields of the spec and the labels that differ, each as "field old -> new".
func diffSpecs(before, after resource.Object) string {
	oldValues, newValues := flatten(before), flatten(after)
	keys := slices.Concat(slices.Collect(maps.Keys(oldValues)), slices.Collect(maps.Keys(newValues)))
	slices.Sort(keys)
	var parts []string
	for _, key := range slices.Compact(keys) {
		if oldValues[key] != newValues[key] {
			parts = append(parts, fmt.Sprintf("%s %s -> %s", key, orUnset(oldValues[key]), orUnset(newValues[key])))
		}
	}
	return strings.Join(parts, ", ")
}

// orUnset returns the text, or "(unset)" if it is empty.
func orUnset(text string) string {
	if text == "" {
		return "(unset)"
	}
	return text
}

// flatten returns the values of the spec and the labels, keyed by their path.
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
	if object, ok := node.(map[string]any); ok {
		for key, child := range object {
			flattenInto(values, path+"."+key, child)
		}
		return
	}
	values[path] = fmt.Sprint(node)
}
