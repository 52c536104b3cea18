package intake

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/berylspar/spar"
	"github.com/cockroachdb/errors"
)

// Load pattern: steady submissions through three entries while the store takes
// 70 ms for each append. An append for each record, repeated when the answer is
// late, would need more appends than the store can carry out; the queue at the
// store would grow until it refuses.
func TestSlowStoreIsNotFloodedByRepeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer settle()
		f := newFakeStore(70 * time.Millisecond)
		var ws []*Writer
		for range 3 {
			ws = append(ws, NewWriter(NewStore(quiet(), f), "jobs"))
		}
		began := time.Now()
		for i, err := range callers(ws, 120, 50*time.Millisecond, 3*time.Second) {
			if err != nil {
				t.Errorf("record %d: %v", i, err)
			}
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.refusals > 0 {
			t.Errorf("the store refused %d of %d appends", f.refusals, f.appends)
		}
		t.Logf("%d appends in %s", f.appends, time.Since(began))
	})
}

// slowStoreOfTenEntries returns the writers of ten entries that have used a fast
// store, which has become slow at this moment.
func slowStoreOfTenEntries(ctx context.Context) (*fakeStore, []*Writer) {
	f := newFakeStore(2 * time.Millisecond)
	f.joinTime = 4 * time.Millisecond
	var ws []*Writer
	for range 10 {
		s := NewStore(quiet(), f)
		ws = append(ws, NewWriter(s, "jobs"))
		go joinUntil(ctx, s)
	}
	callers(ws, 20, 50*time.Millisecond, 3*time.Second)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.appendTime, f.joinTime = 100*time.Millisecond, 200*time.Millisecond
	return f, ws
}

func countErrors(results []error) int {
	n := 0
	for _, err := range results {
		if err != nil {
			n++
		}
	}
	return n
}

// Load pattern: submissions through ten entries when the store becomes slow. Their
// first appends are not answered soon, so only the other calls show how slow it
// is. Repeats of each entry's appends would fill the queue at the store.
func TestStoreThatBecomesSlowIsNotFloodedByRepeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer settle()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		f, ws := slowStoreOfTenEntries(ctx)
		time.Sleep(time.Second)
		failed := countErrors(callers(ws, 100, 60*time.Millisecond, 3*time.Second))
		f.mu.Lock()
		defer f.mu.Unlock()
		if failed > 0 || f.refusals > 0 {
			t.Errorf("%d of 100 records not stored, %d of %d appends refused by the store", failed, f.refusals, f.appends)
		}
	})
}

// Load pattern: the store becomes slow from one moment to the next while ten
// entries submit. Repeats that wait in the queue of the appends before them would
// keep the queue at the store at its limit for as long as the store is slow.
func TestQueueOfAStoreThatBecomesSlowDrains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer settle()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		_, ws := slowStoreOfTenEntries(ctx)
		results := callers(ws, 150, 40*time.Millisecond, 3*time.Second)
		if failed := countErrors(results[50:]); failed > 0 {
			t.Errorf("%d of 100 records were not stored from 2 s after the store became slow", failed)
		}
	})
}

// The store falls silent. What arrives after silenceLimit is refused at once and
// never sent; what was sent before is stored when the store is back, and is never
// called refused.
func TestSilentStoreRefusesWhatWasNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer settle()
		f := newFakeStore(2 * time.Millisecond)
		s := NewStore(quiet(), f)
		w := NewWriter(s, "jobs")
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go joinUntil(ctx, s)
		time.Sleep(time.Second)
		f.mu.Lock()
		silent := true
		f.answer = func() (bool, time.Duration) { return !silent, 0 }
		f.mu.Unlock()
		early := make(chan error, 1)
		go func() { early <- w.Write(ctx, spar.Record{Key: "early"}) }()
		time.Sleep(2 * time.Second)
		for i := range 20 {
			began := time.Now()
			if err := w.Write(ctx, spar.Record{Key: "late"}); !errors.Is(err, spar.ErrRefused) || time.Since(began) > 0 {
				t.Fatalf("write %d into the silence: %v after %s, want a refusal at once", i, err, time.Since(began))
			}
			time.Sleep(100 * time.Millisecond)
		}
		f.mu.Lock()
		silent = false
		sent := !f.stored["late"].IsZero()
		f.mu.Unlock()
		if sent {
			t.Fatal("a refused record was sent")
		}
		if err := <-early; err != nil {
			t.Fatalf("record that was sent before the silence: %v", err)
		}
		if s.IsSilent() {
			t.Fatal("the door is closed after an answer")
		}
		if err := w.Write(ctx, spar.Record{Key: "after"}); err != nil {
			t.Fatalf("write after the silence: %v", err)
		}
	})
}

// A record that waits behind an append without an answer was not sent. It is
// refused as soon as the silence is noticed, long before its caller gives up.
func TestRecordBehindASilentAppendIsRefusedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer settle()
		f := newFakeStore(2 * time.Millisecond)
		f.answer = func() (bool, time.Duration) { return false, 0 }
		s := NewStore(quiet(), f)
		w := NewWriter(s, "jobs")
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		go joinUntil(ctx, s)
		go w.Write(ctx, spar.Record{Key: "first"}) //nolint:errcheck // its result is unknown
		time.Sleep(300 * time.Millisecond)
		began := time.Now()
		err := w.Write(ctx, spar.Record{Key: "second"})
		if took := time.Since(began); !errors.Is(err, spar.ErrRefused) || took > silenceLimit+silenceLimit/4 {
			t.Fatalf("%v after %s, want a refusal within %s", err, took, silenceLimit+silenceLimit/4)
		}
	})
}

// One partition of the store is silent while all other calls are answered. Its
// records are refused at once as well, and a probe notices that it is back without
// any caller.
func TestSilentTopicRefusesWhileTheStoreAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer settle()
		f := newFakeStore(2 * time.Millisecond)
		s := NewStore(quiet(), f)
		w := NewWriter(s, "jobs")
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go joinUntil(ctx, s)
		f.setTopicSilent(true)
		early := make(chan error, 1)
		go func() { early <- w.Write(ctx, spar.Record{Key: "early"}) }()
		time.Sleep(1800 * time.Millisecond)
		for range 10 {
			began := time.Now()
			if err := w.Write(ctx, spar.Record{Key: "late"}); !errors.Is(err, spar.ErrRefused) || time.Since(began) > 0 {
				t.Fatalf("%v after %s, want a refusal at once", err, time.Since(began))
			}
			time.Sleep(200 * time.Millisecond)
		}
		if s.IsSilent() {
			t.Error("the whole store counts as silent")
		}
		f.setTopicSilent(false)
		if err := <-early; err != nil {
			t.Fatalf("record that was sent before: %v", err)
		}
		time.Sleep(2 * probeInterval)
		if err := w.Write(ctx, spar.Record{Key: "after"}); err != nil {
			t.Fatalf("after the silence: %v", err)
		}
	})
}

// A store that had refused all appends is back while no caller comes. The first one after
// the quiet time must not be refused for what was seen before it.
func TestRefusalsAreForgottenInQuietTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer settle()
		f := newFakeStore(2 * time.Millisecond)
		f.refusing = true
		w := NewWriter(NewStore(quiet(), f), "jobs")
		callers([]*Writer{w}, 20, 50*time.Millisecond, 3*time.Second)
		time.Sleep(2 * probeDuration)
		f.mu.Lock()
		f.refusing = false
		f.mu.Unlock()
		if err := w.Write(t.Context(), spar.Record{Key: "first"}); err != nil {
			t.Errorf("the first write after the quiet time: %v", err)
		}
		if away := w.AwayFor(time.Now()); away != 0 {
			t.Errorf("away for %s, want 0", away)
		}
	})
}

// Load pattern: callers go on while the store refuses everything. A record that waited
// for the end of the pause after the last refusal would cost its caller a good part of
// its time, and its next try the rest.
func TestRefusingStoreRefusesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer settle()
		f := newFakeStore(2 * time.Millisecond)
		f.refusing = true
		w := NewWriter(NewStore(quiet(), f), "jobs")
		callers([]*Writer{w}, 20, 50*time.Millisecond, 3*time.Second)
		for i := range 20 {
			began := time.Now()
			if err := w.Write(t.Context(), spar.Record{Key: "late"}); !errors.Is(err, spar.ErrRefused) || time.Since(began) > 10*time.Millisecond {
				t.Fatalf("write %d: %v after %s, want a refusal at once", i, err, time.Since(began))
			}
			time.Sleep(70 * time.Millisecond)
		}
		f.mu.Lock()
		f.refusing = false
		if n := f.appends; n > 30 {
			t.Errorf("%d appends to a store that refuses all of them", n)
		}
		f.mu.Unlock()
		time.Sleep(2 * probeInterval)
		if err := w.Write(t.Context(), spar.Record{Key: "after"}); err != nil {
			t.Fatalf("after the refusals: %v", err)
		}
	})
}

// A caller that gives up learns whether its record may have been stored.
func TestAbandonedRecordIsUnknownOnceSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer settle()
		f := newFakeStore(2 * time.Millisecond)
		f.answer = func() (bool, time.Duration) { return false, 0 }
		w := NewWriter(NewStore(quiet(), f), "jobs")
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		if err := w.Write(ctx, spar.Record{Key: "a"}); !errors.Is(err, spar.ErrUnknown) || errors.Is(err, spar.ErrRefused) {
			t.Fatalf("%v, want an unknown outcome", err)
		}
	})
}
