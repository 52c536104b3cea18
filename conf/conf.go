// Package conf loads settings from JSON, validated against a schema that is
// generated from the tags of the struct that it fills. It does not depend on any
// program.
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

// ErrInvalid marks the errors of rejected settings. Their text names the path of
// the field and the limit that it violates.
var ErrInvalid = errors.New("bad settings")

// Schema returns the JSON schema of T, with the limits and descriptions from the
// jsonschema tags of its fields.
func Schema[T any](title string) []byte {
	r := jsonschema.Reflector{
		Anonymous: true, ExpandedStruct: true, RequiredFromJSONSchemaTags: true, DoNotReference: true,
		// Types are named with their package path, since several packages have a
		// type called Settings.
		Namer: func(t reflect.Type) string { return strings.ReplaceAll(t.PkgPath(), "/", ".") + "." + t.Name() },
	}
	var zero T
	s := r.Reflect(&zero)
	s.Title = title
	out, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encode the schema of %T", zero))
	}
	return append(out, '\n')
}

// Decode validates data against the schema of T and decodes it over the defaults.
// The error is marked with ErrInvalid.
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

// Load reads and decodes a file, of which overrides replace single settings. It returns
// the defaults for an empty path and no overrides.
func Load[T any](path string, defaults T, overrides ...Override) (T, error) {
	data := []byte("{}")
	if path != "" {
		var err error
		if data, err = os.ReadFile(path); err != nil {
			return defaults, errors.Mark(err, ErrInvalid)
		}
	}
	if len(overrides) > 0 {
		var err error
		if data, err = apply(data, overrides); err != nil {
			return defaults, errors.Wrapf(errors.Mark(err, ErrInvalid), "%s", path)
		}
	}
	out, err := Decode(data, defaults)
	return out, errors.Wrapf(err, "%s", path)
}

// Format returns settings as indented JSON.
func Format[T any](v T) []byte {
	out, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encode settings of type %T", v))
	}
	return append(out, '\n')
}

// checkSchema validates a decoded JSON value against the schema of T.
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

// explain returns one message for each invalid field.
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
