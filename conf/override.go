package conf

import (
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"
)

// Override replaces one setting.
type Override struct {
	path  []string
	value string
}

// ParseOverride parses PATH=VALUE, where PATH has a dot between the names of objects. An
// empty VALUE overrides nothing.
func ParseOverride(s string) (Override, error) {
	path, value, ok := strings.Cut(s, "=")
	if !ok || path == "" {
		return Override{}, errors.Mark(errors.Newf("%q: want PATH=VALUE", s), ErrInvalid)
	}
	return Override{path: strings.Split(path, "."), value: value}, nil
}

// decoded returns the value as JSON if it is valid JSON, else as a string.
func (o Override) decoded() json.RawMessage {
	if json.Valid([]byte(o.value)) {
		return json.RawMessage(o.value)
	}
	out, err := json.Marshal(o.value)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encode %q", o.value))
	}
	return out
}

// apply replaces settings in a JSON object.
func apply(data []byte, overrides []Override) ([]byte, error) {
	var top map[string]any
	if err := json.Unmarshal(data, &top); err != nil {
		return nil, errors.Newf("not a JSON object: %v", err)
	}
	if top == nil {
		return nil, errors.New("not a JSON object: null")
	}
	for _, o := range overrides {
		if o.value == "" {
			continue
		}
		object, last := top, len(o.path)-1
		for _, name := range o.path[:last] {
			inner, ok := object[name].(map[string]any)
			if !ok {
				inner = map[string]any{}
				object[name] = inner
			}
			object = inner
		}
		object[o.path[last]] = o.decoded()
	}
	return json.Marshal(top)
}
