package owner

import (
	"testing"

	"github.com/berylspar/spar"
	"github.com/cockroachdb/errors"
)

// A record that an owner may have stored must not be called refused because a
// later try was.
func TestRecordSentToTheOwnerIsRefusedOnlyIfNoTryHadAnEffect(t *testing.T) {
	unknown, refused := errors.Mark(errors.New("time-out"), spar.ErrUnknown), errors.Mark(errors.New("busy"), spar.ErrRefused)
	for _, tt := range []struct {
		name    string
		owner   string
		answers []error
		want    error
		calls   int
	}{
		{"no owner gathers", "", nil, spar.ErrRefused, 0},
		{"stored", "o", []error{nil}, nil, 1},
		{"refused", "o", []error{refused}, spar.ErrRefused, 1},
		{"stored by the second try", "o", []error{unknown, nil}, nil, 2},
		{"refused after a try without an answer", "o", []error{unknown, refused}, spar.ErrUnknown, 2},
		{"no answer at all", "o", []error{unknown, unknown}, spar.ErrUnknown, 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			calls := 0
			err := sendToOwner(func() string { return tt.owner }, func(string) error {
				calls++
				return tt.answers[calls-1]
			})
			if calls != tt.calls || !errors.Is(err, tt.want) || errors.Is(err, spar.ErrRefused) != errors.Is(tt.want, spar.ErrRefused) {
				t.Errorf("%v after %d calls, want %v after %d", err, calls, tt.want, tt.calls)
			}
		})
	}
}
