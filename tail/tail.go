// Package tail follows the platform's log, maintains the folded state, and
// appends records until they are read back. It takes no scheduling decisions.
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

// Tail follows the log and appends to it. It is safe for concurrent use once Run
// was called.
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

// Applied is a folded record with its offset and outcome.
type Applied struct {
	Offset  int64
	Record  *wire.Record
	Outcome fold.Outcome
}

// NewTail returns a Tail that reads on from the offset of a state.
func NewTail(s Settings, log spar.Log, state *fold.State) *Tail {
	t := &Tail{
		settings: s, log: log, state: state,
		queue: make(chan *pending, queueLength), waiting: map[string]*pending{},
	}
	c := state.Config()
	t.config.Store(&c)
	return t
}

// AddListener adds a function that is called for each folded record, in order,
// with the state after all records of the same log entry. It must be called before
// Run. The function must neither block nor call a method of the Tail that locks,
// since the Tail is locked during the call.
func (t *Tail) AddListener(f func(*fold.State, Applied)) { t.listeners = append(t.listeners, f) }

// OnFresh sets a function that is called after each read that reached the head,
// with the state and the time at which the read was sent. The same rules hold as
// for AddListener.
func (t *Tail) OnFresh(f func(s *fold.State, sent time.Time)) { t.onFresh = f }

// Run starts to follow the log and to append, until the context ends. The returned
// channel then receives nil, or ErrGone if the next record to read is no longer
// retained.
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

// View calls f with the state under the lock. f must not retain the state.
func (t *Tail) View(f func(*fold.State)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(t.state)
}

// Config returns the configuration in force. It takes no lock, so that it can also
// be called from listeners and in View.
func (t *Tail) Config() fold.Config { return *t.config.Load() }

// FreshAt returns the time up to which all records are folded: when the newest
// read that reached the head was sent. It is zero before the first such read.
func (t *Tail) FreshAt() time.Time {
	p := t.freshAt.Load()
	if p == nil {
		return time.Time{}
	}
	return *p
}

// Oldest returns the oldest retained offset, as of the newest read.
func (t *Tail) Oldest() int64 { return t.oldest.Load() }

// Undecoded returns the number of log entries that could not be decoded. Reading
// continues after them.
func (t *Tail) Undecoded() int64 { return t.undecoded.Load() }

// Appends returns the number of attempts to append, repeated ones included.
func (t *Tail) Appends() int64 { return t.appends.Load() }

// Retries returns the number of appends that were repeated with the same record
// ids.
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

// readOnce reads from the log once and folds the records.
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
		return errors.Wrapf(spar.ErrGone, "read the log from offset %d, oldest retained offset is %d", from, page.Oldest)
	}
	t.oldest.Store(page.Oldest)
	next := t.apply(page.Entries)
	if next >= page.Head || len(page.Entries) == 0 && from >= page.Head {
		t.markFresh(sent)
	}
	return nil
}

// markFresh records that a read sent at sent has reached the head.
func (t *Tail) markFresh(sent time.Time) {
	if t.onFresh != nil {
		t.mu.Lock()
		t.onFresh(t.state, sent)
		t.mu.Unlock()
	}
	t.freshAt.Store(&sent)
}

// apply folds log entries and returns the offset of the next one.
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
		panic(errors.AssertionFailedf("configuration revision went from %d to %d", t.config.Load().Revision(), c.Revision()))
	}
	t.config.Store(&c)
	return t.state.Next()
}

// deliver passes a folded record to the listeners and to the caller of Append
// that waits for it.
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

// NewID returns a new random record id.
func NewID() []byte {
	id := make([]byte, idBytes)
	if _, err := rand.Read(id); err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "read random bytes for a record id"))
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
