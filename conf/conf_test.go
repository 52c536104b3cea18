package conf

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
)

type inner struct {
	Rate int `json:"rate" jsonschema:"minimum=1,maximum=10,description=rate"`
}

type sample struct {
	Name  string `json:"name" jsonschema:"minLength=1,description=name"`
	Inner inner  `json:"inner" jsonschema:"description=inner part"`
}

// Guards against errors that don't say which field of the settings is invalid.
func TestValidationErrorsNameTheField(t *testing.T) {
	for data, want := range map[string]string{
		`{"extra":"x"}`:              "additional properties 'extra'",
		`{"name":""}`:                "name: ",
		`{"inner":{"rate":11}}`:      "inner.rate: ",
		`{"inner":{"rate":"fast"}}`:  "inner.rate: ",
		`{"inner":{"rate":1,"x":2}}`: "inner: additional properties 'x'",
		`{"name":`:                   "not JSON",
		`{"name":"a","inner":[1,2]}`: "inner: ",
		`{"inner":{"rate":1.5}}`:     "inner.rate: ",
	} {
		_, err := Decode([]byte(data), sample{Name: "d", Inner: inner{Rate: 3}})
		if !errors.Is(err, ErrInvalid) || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want %q", data, err, want)
		}
	}
}

func TestOmittedFieldsKeepTheirDefault(t *testing.T) {
	got, err := Decode([]byte(`{"name":"n"}`), sample{Name: "d", Inner: inner{Rate: 3}})
	if err != nil || got.Name != "n" || got.Inner.Rate != 3 {
		t.Fatalf("%+v, %v", got, err)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"name":"x","inner":{"rate":2}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		got, err := Decode(data, sample{Name: "d", Inner: inner{Rate: 3}})
		if err == nil && (got.Inner.Rate < 1 || got.Inner.Rate > 10 || got.Name == "") {
			t.Fatalf("accepted %+v from %q", got, data)
		}
	})
}
