package intake

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/berylspar/spar"
	"github.com/cockroachdb/errors"
)

// invalidStore refuses every append for its content, after some time.
type invalidStore struct{ spar.Store }

func (invalidStore) Append(context.Context, string, *spar.Producer, []spar.Record) (int64, error) {
	time.Sleep(20 * time.Millisecond)
	return 0, errors.Mark(errors.Mark(errors.New("content refused"), spar.ErrInvalid), spar.ErrRefused)
}

// The store refuses an append of several records for the content of one of them. The
// callers of the others must be told to come again, not that their records are invalid.
func TestRecordsRefusedTogetherAreNotCalledInvalid(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer settle()
		w := NewWriter(NewStore(quiet(), invalidStore{}), "jobs")
		// The first record goes alone, and the others together while it is in flight.
		for i, err := range callers([]*Writer{w}, 3, time.Millisecond, time.Second) {
			if alone := i == 0; !errors.Is(err, spar.ErrRefused) || errors.Is(err, spar.ErrInvalid) != alone {
				t.Errorf("record %d: %v, invalid %v", i, err, errors.Is(err, spar.ErrInvalid))
			}
		}
	})
}
