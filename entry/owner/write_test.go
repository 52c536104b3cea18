package owner

import (
	"context"
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

// A caller with hardly any time left comes while the store is away. A record that is sent
// to another entry then has no answer in time, so that the outcome would be unknown.
func TestRecordIsNotRelayedWithoutTimeForTheAnswer(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), minRelayTime/2)
	defer cancel()
	c := NewClient(newTestTerm(nil).Common, &Candidate{peers: &routedPeers{}}, nil)
	if err := c.relay(ctx, "e1", spar.Record{Key: JobPrefix + "a"}); !errors.Is(err, spar.ErrRefused) {
		t.Errorf("%v, want a refusal without a call", err)
	}
}
