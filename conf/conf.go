// Package conf loads settings: JSON that is checked against the schema made
// from the documented struct it fills. It does not know any one program.
package conf

import (
	"bytes"
	"encoding/json"
	"os"
	"reflect"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/invopop/jsonschema"
	validate "github.com/santhosh-tekuri/jsonschema/v6"
)

// ErrBad marks settings that were refused. Its text names the field's path,
// the value and what would be right.
var ErrInvalid = errors.New("bad settings")

// Schema returns the JSON schema of T. The struct's jsonschema tags hold the
// limits and the descriptions.
func Schema[T any](title string) []byte {
	r := jsonschema.Reflector{
		Anonymous: true, ExpandedStruct: true, RequiredFromJSONSchemaTags: true, DoNotReference: true,
		// Settings of several packages share their type's name.
		Namer: func(t reflect.Type) string { return strings.ReplaceAll(t.PkgPath(), "/", ".") + "." + t.Name() },
	}
	var zero T
	s := r.Reflect(&zero)
	s.Title = title
	out, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "schema of %T", zero))
	}
	return append(out, '\n')
}

// Decode checks data against the schema of T and fills it, starting from
// defaults. The error is marked with ErrBad.
func Decode[T any](data []byte, defaults T) (T, error) {
	value, err := validate.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return defaults, errors.Mark(errors.Newf("not JSON: %v", err), ErrInvalid)
	}
	if err := checkSchema[T](value); err != nil {
		return defaults, errors.Mark(err, ErrInvalid)
	}
	out := defaults
	if err := json.Unmarshal(data, &out); err != nil {
		return defaults, errors.Mark(err, ErrInvalid)
	}
	return out, nil
}

// Load reads a file and decodes it. An empty path gives the defaults.
func Load[T any](path string, defaults T) (T, error) {
	if path == "" {
		return defaults, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return defaults, errors.Mark(err, ErrInvalid)
	}
	out, err := Decode(data, defaults)
	return out, errors.Wrapf(err, "%s", path)
}

// Print returns settings as indented JSON.
func Format[T any](v T) []byte {
	out, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "settings %T", v))
	}
	return append(out, '\n')
}

func checkSchema[T any](value any) error {
	schema, err := validate.UnmarshalJSON(bytes.NewReader(Schema[T]("")))
	if err != nil {
		return err
	}
	c := validate.NewCompiler()
	if err := c.AddResource("settings.json", schema); err != nil {
		return err
	}
	compiled, err := c.Compile("settings.json")
	if err != nil {
		return err
	}
	err = compiled.Validate(value)
	var bad *validate.ValidationError
	if !errors.As(err, &bad) {
		return err
	}
	return errors.Newf("%s", strings.Join(explain(bad), "; "))
}

// explain returns a line for each field that was refused.
func explain(e *validate.ValidationError) []string {
	if len(e.Causes) == 0 {
		path := strings.Join(e.InstanceLocation, ".")
		if path == "" {
			path = "(top)"
		}
		return []string{path + ": " + e.ErrorKind.LocalizedString(printer)}
	}
	var out []string
	for _, c := range e.Causes {
		out = append(out, explain(c)...)
	}
	return out
}
