package hops_test

import (
	"testing"

	"github.com/berylspar/spar/fuzz"
	"github.com/berylspar/spar/hops"
)

func FuzzParseLoad(f *testing.F) {
	f.Add("1 2 8 4000 leaving")
	f.Add("-1 9223372036854775808 0x1 ")
	f.Fuzz(func(t *testing.T, header string) {
		fuzz.Bounded(t, len(header), func() {
			l, ok := hops.ParseLoad(header)
			if !ok {
				return
			}
			if again, ok := hops.ParseLoad(string(hops.FormatLoad(nil, l))); !ok || again.String() != l.String() {
				t.Errorf("%q is %v, and %v after it was written", header, l, again)
			}
		})
	})
}
