package tail

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/fold"
	"github.com/berylspar/spar/wire"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// flakyLog is a log that loses requests and answers at random, so that an append
// may take effect although it fails.
type flakyLog struct {
	mu       sync.Mutex
	random   *rand.Rand
	oldest   int64
	entries  []spar.Entry
	lossRate float64
}

func (l *flakyLog) Append(ctx context.Context, data []byte) (int64, error) {
	time.Sleep(5 * time.Millisecond)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.random.Float64() < l.lossRate {
		return 0, spar.ErrUnavailable
	}
	offset := l.oldest + int64(len(l.entries))
	l.entries = append(l.entries, spar.Entry{Offset: offset, Data: data})
	if l.random.Float64() < l.lossRate {
		return 0, spar.ErrUnavailable
	}
	return offset, ctx.Err()
}

func (l *flakyLog) Read(_ context.Context, from int64, wait time.Duration) (spar.Page, error) {
	time.Sleep(wait / 4)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.random.Float64() < l.lossRate {
		return spar.Page{}, spar.ErrUnavailable
	}
	p := spar.Page{Oldest: l.oldest, Head: l.oldest + int64(len(l.entries))}
	for _, e := range l.entries {
		if e.Offset >= from {
			p.Entries = append(p.Entries, e)
		}
	}
	return p, nil
}

func onceRecord(key string) *wire.Record {
	return &wire.Record{Body: &wire.Record_Once{Once: &wire.Once{Key: key}}}
}

// Guards against a key that is taken twice, or a caller that is told that its key
// is taken by another, when an append is repeated after a lost answer.
func TestAppendsAreIdempotent(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			l := &flakyLog{random: rand.New(rand.NewPCG(seed, 1)), lossRate: 0.4}
			a := NewTail(DefaultSettings(), l, fold.NewState(0, nil))
			ctx, cancel := context.WithCancel(context.Background())
			done := a.Run(ctx)
			for i := range 20 {
				key := "k" + string(rune('a'+i))
				r, err := a.Append(ctx, onceRecord(key))
				if err != nil || !r.Outcome.IsValid() {
					t.Fatalf("seed %d: %s: %v, %q", seed, key, err, r.Outcome.Reason())
				}
				if r, _ = a.Append(ctx, onceRecord(key)); r.Outcome.Reason() != spar.ReasonKeyTaken {
					t.Fatalf("seed %d: %s was taken twice", seed, key)
				}
			}
			cancel()
			<-done
		})
	}
}

// Guards against an entry that starts after retention removed the first records
// and does not know the facts in them: it must load them from the snapshot.
func TestLoadStateFromSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &flakyLog{random: rand.New(rand.NewPCG(1, 1))}
		ctx, cancel := context.WithCancel(context.Background())
		a := NewTail(DefaultSettings(), l, fold.NewState(0, nil))
		done := a.Run(ctx)
		for i := range 30 {
			a.Append(ctx, onceRecord("before"+string(rune('a'+i))))
		}
		var n *wire.Snapshot
		a.View(func(s *fold.State) { n = s.Snapshot() })
		parts, err := SplitSnapshot("e", n)
		if err != nil {
			t.Fatal(err)
		}
		for _, p := range parts {
			a.Append(ctx, p)
		}
		a.Append(ctx, onceRecord("after"))
		l.mu.Lock()
		l.oldest, l.entries = n.GetOffset(), l.entries[n.GetOffset():]
		l.mu.Unlock()
		s, err := LoadState(ctx, l, nil)
		if err != nil || s == nil {
			t.Fatalf("no state loaded: %v", err)
		}
		b := NewTail(DefaultSettings(), l, s)
		late := b.Run(ctx)
		r, err := b.Append(ctx, onceRecord("beforea"))
		if err != nil || r.Outcome.Reason() != spar.ReasonKeyTaken {
			t.Fatalf("reason for a key from before retention is %q, error %v", r.Outcome.Reason(), err)
		}
		cancel()
		<-done
		<-late
	})
}

// Guards against readers that stop at a log entry that can't be decoded: it must
// be skipped and counted.
func TestUndecodableEntryIsSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &flakyLog{random: rand.New(rand.NewPCG(1, 1)), entries: []spar.Entry{{Offset: 0, Data: []byte{0xff, 0xff}}}}
		ctx, cancel := context.WithCancel(context.Background())
		a := NewTail(DefaultSettings(), l, fold.NewState(0, nil))
		done := a.Run(ctx)
		if r, err := a.Append(ctx, onceRecord("k")); err != nil || !r.Outcome.IsValid() || a.Undecoded() != 1 {
			t.Fatalf("append after an undecodable entry: error %v, reason %q, %d entries undecoded", err, r.Outcome.Reason(), a.Undecoded())
		}
		cancel()
		<-done
	})
}
