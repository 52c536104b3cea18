package intake

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/common"
	"github.com/berylspar/spar/hedge"
	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"
)

// fakeStore carries out appends one after another, each in appendTime, and
// refuses those that would wait for more than maxQueue.
type fakeStore struct {
	spar.Store
	appendTime time.Duration
	// joinTime is how long a join takes.
	joinTime time.Duration
	// answer decides about the answer to a call: whether there is one, and after
	// which further delay.
	answer func() (bool, time.Duration)

	mu sync.Mutex
	// topicSilent leaves appends without an answer.
	topicSilent bool
	// refusing refuses all appends.
	refusing bool
	freeAt   time.Time
	appends  int
	refusals int
	stored   map[string]time.Time
}

const maxQueue, callTimeout = 2 * time.Second, 1500 * time.Millisecond

func (f *fakeStore) Append(ctx context.Context, _ string, _ *spar.Producer, records []spar.Record) (int64, error) {
	f.mu.Lock()
	now := time.Now()
	if f.freeAt.Before(now) {
		f.freeAt = now
	}
	wait := f.freeAt.Sub(now)
	f.appends++
	if wait > maxQueue || f.refusing {
		f.refusals++
		f.mu.Unlock()
		return 0, errors.Mark(errors.New("busy"), spar.ErrRefused)
	}
	f.freeAt = f.freeAt.Add(f.appendTime)
	silent := f.topicSilent
	for _, r := range records {
		if f.stored[r.Key].IsZero() {
			f.stored[r.Key] = now
		}
	}
	f.mu.Unlock()
	if silent {
		time.Sleep(callTimeout)
		return 0, errors.Mark(errors.New("timeout"), spar.ErrUnknown)
	}
	return 0, f.reply(ctx, wait+f.appendTime)
}

func (f *fakeStore) Join(ctx context.Context, _ spar.Member) (spar.Membership, error) {
	f.mu.Lock()
	took := f.joinTime
	f.mu.Unlock()
	return spar.Membership{}, f.reply(ctx, took)
}

// reply answers after a time, or times out.
func (f *fakeStore) reply(_ context.Context, after time.Duration) error {
	ok, delay := true, time.Duration(0)
	f.mu.Lock()
	if f.answer != nil {
		ok, delay = f.answer()
	}
	f.mu.Unlock()
	if after += delay; !ok || after > callTimeout {
		time.Sleep(callTimeout)
		return errors.Mark(errors.New("timeout"), spar.ErrUnknown)
	}
	time.Sleep(after)
	return nil
}

func (f *fakeStore) setTopicSilent(silent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.topicSilent = silent
}

func newFakeStore(appendTime time.Duration) *fakeStore {
	return &fakeStore{appendTime: appendTime, stored: map[string]time.Time{}}
}

func quiet() common.Common {
	return common.Common{Logger: log.NewNopLogger(), Scope: tally.NoopScope}
}

// joinUntil renews a membership as an entry does, so that the door sees calls.
func joinUntil(ctx context.Context, s *Store) {
	var latency hedge.Latency
	for ctx.Err() == nil {
		go hedge.Do(ctx, &latency, func(ctx context.Context, _ int) (spar.Membership, error) { return s.Join(ctx, spar.Member{}) }) //nolint:errcheck // only the answer's time matters
		time.Sleep(250 * time.Millisecond)
	}
}

// settle lets the calls in flight time out, so that a test ends without them.
func settle() { time.Sleep(probeDuration + 3*callTimeout) }

// callers sends n records through the writers in turn, spaced evenly, and waits
// for all results.
func callers(ws []*Writer, n int, spacing, patience time.Duration) []error {
	out := make([]error, n)
	var done sync.WaitGroup
	for i := range n {
		done.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), patience)
			defer cancel()
			out[i] = ws[i%len(ws)].Write(ctx, spar.Record{Key: fmt.Sprint(i), Value: []byte{1}})
		})
		time.Sleep(spacing)
	}
	done.Wait()
	return out
}
