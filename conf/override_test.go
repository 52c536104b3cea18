package conf_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/berylspar/spar/conf"
)

type limits struct {
	Rate  int    `json:"rate" jsonschema:"minimum=1,maximum=10,description=rate"`
	Label string `json:"label" jsonschema:"description=label"`
}

type settings struct {
	Limits limits `json:"limits" jsonschema:"description=limits"`
}

func ExampleParseOverride() {
	o, err := conf.ParseOverride("limits.rate=7")
	if err != nil {
		fmt.Println(err)
		return
	}
	s, err := conf.Load("", settings{Limits: limits{Rate: 2, Label: "a"}}, o)
	fmt.Println(s.Limits, err)
	// Output: {7 a} <nil>
}

// An override must be checked like a setting of the file, and must replace nothing else
// of it.
func TestOverridesReplaceSingleSettings(t *testing.T) {
	file := filepath.Join(t.TempDir(), "s.json")
	if err := os.WriteFile(file, []byte(`{"limits":{"rate":3,"label":"f"}}`), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, tt := range []struct {
		override string
		want     limits
		invalid  string
	}{
		{"limits.rate=7", limits{7, "f"}, ""},
		{"limits.label=x y", limits{3, "x y"}, ""},
		{"limits.rate=", limits{3, "f"}, ""},
		{"limits.rate=11", limits{}, "limits.rate: "},
		{"limits.rate=fast", limits{}, "limits.rate: "},
		{"limits.pace=1", limits{}, "limits: additional properties 'pace'"},
		{"limits", limits{}, "want PATH=VALUE"},
	} {
		t.Run(tt.override, func(t *testing.T) {
			o, err := conf.ParseOverride(tt.override)
			var s settings
			if err == nil {
				s, err = conf.Load(file, settings{}, o)
			}
			if tt.invalid == "" && (err != nil || s.Limits != tt.want) {
				t.Errorf("%+v, %v", s.Limits, err)
			}
			if tt.invalid != "" && (err == nil || !strings.Contains(err.Error(), tt.invalid)) {
				t.Errorf("error %v, want %q", err, tt.invalid)
			}
		})
	}
}
