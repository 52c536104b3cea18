package intake

import (
	"context"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/common"
	"github.com/cockroachdb/errors"
)

// Store passes calls on to a store and keeps a door that tells whether the store
// answers.
type Store struct {
	spar.Store
	common.Common
	door Door
}

// NewStore returns a store that logs and counts when the door changes.
func NewStore(c common.Common, s spar.Store) *Store {
	return &Store{Store: s, Common: c, door: Door{limits: doorLimits{silenceLimit, minUnanswered}, onChange: logChange(c, "all")}}
}

// logChange returns a function that logs and counts the changes of a door.
func logChange(c common.Common, topic string) func(closed bool, silent time.Duration) {
	return func(closed bool, silent time.Duration) {
		if closed {
			c.Warn("store does not answer; new requests are refused", "topic", topic, "silent", silent)
			c.Counter("store_silent").Inc(1)
			return
		}
		c.Info("store answers again", "topic", topic, "silent", silent)
		c.Counter("store_back").Inc(1)
	}
}

// IsSilent reports whether the store does not answer at the moment.
func (s *Store) IsSilent() bool { return s.door.IsClosed(time.Now()) }

// slowDuration is the mean duration of calls from which the store counts as slow.
// A store answers within a few milliseconds.
const slowDuration = 60 * time.Millisecond

// IsSlow reports whether the store answers, but slowly.
func (s *Store) IsSlow() bool { return s.door.meanDuration() >= slowDuration }

// MeanDuration returns the moving mean of how long answered calls take.
func (s *Store) MeanDuration() time.Duration { return s.door.meanDuration() }

// observe makes a call and records whether the store answered it.
func observe[T any](s *Store, call func() (T, error)) (T, error) {
	begun := time.Now()
	s.door.Sent(begun)
	v, err := call()
	s.door.Ended(isAnswer(err), time.Since(begun), time.Now())
	return v, err
}

// isAnswer reports whether a call with this result was answered by the store.
func isAnswer(err error) bool {
	return err == nil || !errors.Is(err, spar.ErrUnknown) && !errors.Is(err, spar.ErrNotSent)
}

// Append implements spar.Store.
func (s *Store) Append(ctx context.Context, topic string, p *spar.Producer, records []spar.Record) (int64, error) {
	return observe(s, func() (int64, error) { return s.Store.Append(ctx, topic, p, records) })
}

// Newest implements spar.Store.
func (s *Store) Newest(ctx context.Context, topic string) (spar.Batch, error) {
	return observe(s, func() (spar.Batch, error) { return s.Store.Newest(ctx, topic) })
}

// Join implements spar.Store.
func (s *Store) Join(ctx context.Context, m spar.Member) (spar.Membership, error) {
	return observe(s, func() (spar.Membership, error) { return s.Store.Join(ctx, m) })
}

// Follow implements spar.Store. A read waits for records on purpose, so that it
// says nothing about the store before it is answered.
func (s *Store) Follow(ctx context.Context, topic string, from int64, wait time.Duration) (spar.Batch, error) {
	b, err := s.Store.Follow(ctx, topic, from, wait)
	if isAnswer(err) {
		s.door.Answered(time.Now())
	}
	return b, err
}
