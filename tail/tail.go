// Package tail follows the platform's log, keeps the fold of it, and appends
// records until they are read back. It decides nothing.
package tail

import (
	"context"
	"crypto/rand"
	"sync"
	"sync/atomic"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/fold"
	"github.com/berylspar/spar/wire"
	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
)

// Tail is a reader and appender of the log.
type Tail struct {
	settings Settings
	log      spar.Log
	queue    chan *pending

	mu      sync.Mutex
	state   *fold.State
	waiting map[string]*pending

	config    atomic.Pointer[fold.Config]
	freshAt   atomic.Pointer[time.Time]
	undecoded atomic.Int64
	appends   atomic.Int64
	retries   atomic.Int64
	oldest    atomic.Int64
	listeners []func(*fold.State, Applied)
	onFresh   func(*fold.State, time.Time)
}

// Applied is one folded record.
type Applied struct {
	Offset  int64
	Record  *wire.Record
	Outcome fold.Outcome
}

// NewTail returns a reader that starts from a state.
func NewTail(s Settings, log spar.Log, state *fold.State) *Tail {
	t := &Tail{
		settings: s, log: log, state: state,
		queue: make(chan *pending, queueLength), waiting: map[string]*pending{},
	}
	c := state.Config()
	t.config.Store(&c)
	return t
}

// Listen adds a function that is called for each folded record, in order, with
// the fold as it is after the record. It must be called before Run; it must
// neither block nor call the tail.
func (t *Tail) AddListener(f func(*fold.State, Applied)) { t.listeners = append(t.listeners, f) }

// OnFresh sets a function that is called after each read that reached the head,
// with the fold locked and the moment that the read was sent. The same rules
// hold as for Listen.
func (t *Tail) OnFresh(f func(s *fold.State, sent time.Time)) { t.onFresh = f }

// Run follows the log until the context ends. It reports ErrGone when it fell
// behind retention.
func (t *Tail) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	appenderDone := t.startAppender(ctx)
	go func() {
		err := t.follow(ctx)
		<-appenderDone
		done <- err
	}()
	return done
}

// View calls f with the fold, which it must not keep.
func (t *Tail) View(f func(*fold.State)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(t.state)
}

// Config returns the configuration in force without a lock.
func (t *Tail) Config() fold.Config { return *t.config.Load() }

// FreshAt is the moment up to which all records are folded: the sending of the
// newest read that reached the head. It is zero before the first.
func (t *Tail) FreshAt() time.Time {
	p := t.freshAt.Load()
	if p == nil {
		return time.Time{}
	}
	return *p
}

// Oldest is the oldest offset kept, as of the newest read.
func (t *Tail) Oldest() int64 { return t.oldest.Load() }

// Unread counts the entries that could not be decoded and were skipped.
func (t *Tail) Undecoded() int64 { return t.undecoded.Load() }

// Appends counts the tries of appends, and Retries those that were repeated.
func (t *Tail) Appends() int64 { return t.appends.Load() }

// Retries counts the appends that were repeated under the same ids.
func (t *Tail) Retries() int64 { return t.retries.Load() }

func (t *Tail) follow(ctx context.Context) error {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = minRetryDelay
	pause.MaxInterval = maxRetryDelay
	for ctx.Err() == nil {
		err := t.readOnce(ctx)
		if err == nil {
			pause.Reset()
			continue
		}
		if isGone(err) {
			return err
		}
		sleep(ctx, pause.NextBackOff())
	}
	return nil
}

// step makes one read and folds what it brings.
func (t *Tail) readOnce(ctx context.Context) error {
	t.mu.Lock()
	from := t.state.Next()
	t.mu.Unlock()
	sent := time.Now()
	page, err := t.log.Read(ctx, from, t.settings.poll())
	if err != nil {
		return err
	}
	if page.Oldest > from {
		return errors.Wrapf(spar.ErrGone, "offset %d, oldest kept %d", from, page.Oldest)
	}
	t.oldest.Store(page.Oldest)
	next := t.apply(page.Entries)
	if next >= page.Head || len(page.Entries) == 0 && from >= page.Head {
		t.markFresh(sent)
	}
	return nil
}

func (t *Tail) markFresh(sent time.Time) {
	if t.onFresh != nil {
		t.mu.Lock()
		t.onFresh(t.state, sent)
		t.mu.Unlock()
	}
	t.freshAt.Store(&sent)
}

func (t *Tail) apply(entries []spar.Entry) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range entries {
		if e.Offset < t.state.Next() {
			continue
		}
		var b wire.Batch
		if err := proto.Unmarshal(e.Data, &b); err != nil {
			t.undecoded.Add(1)
		}
		for i, o := range t.state.Apply(e.Offset, b.GetRecords()) {
			t.deliver(Applied{Offset: e.Offset, Record: b.GetRecords()[i], Outcome: o})
		}
	}
	c := t.state.Config()
	if c.Revision() < t.config.Load().Revision() {
		panic(errors.AssertionFailedf("configuration went from revision %d to %d", t.config.Load().Revision(), c.Revision()))
	}
	t.config.Store(&c)
	return t.state.Next()
}

func (t *Tail) deliver(a Applied) {
	for _, f := range t.listeners {
		f(t.state, a)
	}
	id := string(a.Record.GetId())
	p := t.waiting[id]
	if p == nil {
		return
	}
	delete(t.waiting, id)
	p.done <- a
}

// NewID returns a new record id.
func NewID() []byte {
	id := make([]byte, idBytes)
	if _, err := rand.Read(id); err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "random source"))
	}
	return id
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func isGone(err error) bool { return errors.Is(err, spar.ErrGone) }
