package conf

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
)

// MarkdownTable returns a section with a table of the fields of T, their defaults,
// limits and descriptions.
func MarkdownTable[T any](title string, defaults T) string {
	var b strings.Builder
	fmt.Fprintf(&b, "## %s\n\n| field | default | limits | meaning |\n| --- | --- | --- | --- |\n", title)
	writeRows(&b, "", reflect.ValueOf(defaults))
	return b.String()
}

// writeRows writes a row for each field of a struct; nested structs add their name
// to the prefix.
func writeRows(b *strings.Builder, prefix string, v reflect.Value) {
	t := v.Type()
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if f.Anonymous {
			writeRows(b, prefix, v.Field(i))
			continue
		}
		if f.Type.Kind() == reflect.Struct {
			writeRows(b, prefix+name+".", v.Field(i))
			continue
		}
		value, _ := json.Marshal(v.Field(i).Interface())
		limits, meaning := splitTag(f.Tag.Get("jsonschema"))
		fmt.Fprintf(b, "| `%s%s` | `%s` | %s | %s |\n", prefix, name, value, limits, meaning)
	}
}

// splitTag separates the description in a jsonschema tag from the limits.
func splitTag(tag string) (limits, meaning string) {
	var parts []string
	for p := range strings.SplitSeq(tag, ",") {
		if m, ok := strings.CutPrefix(p, "description="); ok {
			meaning = m
			continue
		}
		parts = append(parts, strings.Replace(p, "=", " ", 1))
	}
	return strings.Join(parts, ", "), meaning
}
