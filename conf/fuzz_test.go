package conf

import "testing"

// Settings that are accepted must be within their limits, also after an override.
func FuzzOverride(f *testing.F) {
	f.Add([]byte(`{"name":"a","inner":{"rate":5}}`), "inner.rate=1")
	f.Add([]byte(`{"inner":null}`), "inner..x={}")
	f.Add([]byte(`null`), "name=x")
	f.Fuzz(func(t *testing.T, data []byte, override string) {
		o, err := ParseOverride(override)
		if err != nil {
			return
		}
		changed, err := apply(data, []Override{o})
		if err != nil {
			return
		}
		got, err := Decode(changed, sample{Name: "d", Inner: inner{Rate: 3}})
		if err == nil && (got.Inner.Rate < 1 || got.Inner.Rate > 10 || got.Name == "") {
			t.Errorf("accepted %+v from %q with %q", got, data, override)
		}
	})
}
