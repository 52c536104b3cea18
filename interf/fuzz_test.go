package interf_test

import (
	"strings"
	"testing"

	"github.com/berylspar/spar/fuzz"
	"github.com/berylspar/spar/interf"
)

func FuzzDecode(f *testing.F) {
	f.Add([]byte("\x91\x94\xa1s\xa1f\xca\x3f\x80\x00\x00\xca\x3f\x80\x00\x00"))
	f.Add([]byte("\xdc\x03\xe8" + strings.Repeat("\xc0", 1000)))
	f.Fuzz(func(t *testing.T, value []byte) {
		fuzz.Bounded(t, len(value), func() {
			m, err := interf.Decode(value)
			if err != nil {
				return
			}
			stored := m.Encode(1 << 20)
			if _, err := interf.Decode(stored); err != nil {
				t.Errorf("stored form of %d bytes: %v", len(stored), err)
			}
		})
	})
}
