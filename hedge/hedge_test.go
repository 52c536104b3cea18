package hedge_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/hedge"
	"github.com/cockroachdb/errors"
)

// lostCallTimeout ends a call whose answer never comes.
const lostCallTimeout = 1500 * time.Millisecond

// scriptedCall returns a call that gives the answers of the script in order, the
// last one repeatedly, and the number of calls made.
func scriptedCall(script ...answer) (func(context.Context, int) (int, error), *int) {
	calls := 0
	return func(context.Context, int) (int, error) {
		a := script[min(calls, len(script)-1)]
		calls++
		time.Sleep(a.after)
		return calls, a.err
	}, &calls
}

type answer struct {
	after time.Duration
	err   error
}

func TestDo(t *testing.T) {
	unknown := errors.Mark(errors.New("no answer"), spar.ErrUnknown)
	refused := errors.Mark(errors.New("busy"), spar.ErrRefused)
	quick := 5 * time.Millisecond
	for _, tt := range []struct {
		name   string
		script []answer
		want   error
		calls  int
		limit  time.Duration
	}{
		{"one answer", []answer{{quick, nil}}, nil, 1, 10 * time.Millisecond},
		{"an answer lost", []answer{{lostCallTimeout, unknown}, {quick, nil}}, nil, 2, 100 * time.Millisecond},
		{"two answers lost", []answer{{lostCallTimeout, unknown}, {lostCallTimeout, unknown}, {quick, nil}}, nil, 3, 300 * time.Millisecond},
		{"a late answer", []answer{{150 * time.Millisecond, nil}, {lostCallTimeout, unknown}}, nil, 2, 160 * time.Millisecond},
		{"a refusal", []answer{{quick, refused}}, spar.ErrRefused, 1, 10 * time.Millisecond},
		{"a refusal after a call that is not answered", []answer{{lostCallTimeout, unknown}, {quick, refused}, {quick, refused}}, spar.ErrUnknown, 3, 2 * time.Second},
		{"fenced", []answer{{quick, spar.ErrFenced}}, spar.ErrFenced, 1, 10 * time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				call, calls := scriptedCall(tt.script...)
				var latency hedge.Latency
				begun := time.Now()
				_, err := hedge.Do(t.Context(), &latency, call)
				if took := time.Since(begun); took > tt.limit {
					t.Errorf("took %s, want %s at most", took, tt.limit)
				}
				if !errors.Is(err, tt.want) {
					t.Errorf("error %v, want %v", err, tt.want)
				}
				if errors.Is(tt.want, spar.ErrUnknown) && errors.Is(err, spar.ErrRefused) {
					t.Error("a call that may have been carried out is reported as refused")
				}
				if *calls != tt.calls {
					t.Errorf("%d calls, want %d", *calls, tt.calls)
				}
				time.Sleep(2 * lostCallTimeout)
			})
		})
	}
}

// Guards against doubling the load of a store that has become slow: once the mean
// duration has risen, answers at that pace are not late.
func TestSlowAnswersAreNotRepeatedEachTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		call, calls := scriptedCall(answer{200 * time.Millisecond, nil})
		var latency hedge.Latency
		for range 40 {
			if _, err := hedge.Do(t.Context(), &latency, call); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Second)
		}
		if *calls > 50 {
			t.Errorf("%d calls for 40 answers, want 50 at most", *calls)
		}
	})
}
