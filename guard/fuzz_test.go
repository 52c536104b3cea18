package guard

import (
	"strings"
	"testing"
	"time"

	"github.com/berylspar/spar/fuzz"
	"github.com/berylspar/spar/platform"
)

// What is reserved for a body must cover what it decodes to.
func FuzzDecodedBytes(f *testing.F) {
	for _, element := range []string{`{}`, `{"count":1}`, `null`, `""`, `1`, `[]`, `{"dependsOn":[0,0,0,0]}`} {
		f.Add([]byte(`{"steps":[` + strings.Repeat(element+",", 5000) + element + `]}`))
		f.Add([]byte(`{"labels":[` + strings.Repeat(element+",", 5000) + element + `]}`))
	}
	f.Add([]byte(`{"steps":[{"dependsOn":[` + strings.Repeat("0,", 5000) + `0]}]}`))
	f.Add([]byte(strings.Repeat(`{"taskSpec":`, 500)))
	f.Fuzz(func(t *testing.T, body []byte) {
		most := len(body)*bodyCost + decodedBytes(body)
		fuzz.Within(t, most, func() { _, _ = platform.DecodeJob("5c0e7a21d94b36f8", "q", time.Time{}, body) })
		fuzz.Within(t, most, func() { _, _ = platform.DecodeHeartbeat("i-1", body) })
	})
}
