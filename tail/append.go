package tail

import (
	"context"
	"time"

	"github.com/berylspar/spar/wire"
	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
)

// Sizes and times of appends.
const (
	idBytes         = 16
	queueLength     = 4096
	maxBatchRecords = 256
	maxInFlight     = 4
	minRetryDelay   = 20 * time.Millisecond
	maxRetryDelay   = time.Second
)

// pending is a record on its way to the log.
type pending struct {
	ctx    context.Context
	record *wire.Record
	done   chan Applied
}

// Append appends a record until it is read back, and returns what the fold
// made of it. An error means that the context ended first: the record may
// still land. The record gets an id where it has none.
func (t *Tail) Append(ctx context.Context, r *wire.Record) (Applied, error) {
	if len(r.GetId()) == 0 {
		r.Id = NewID()
	}
	p := &pending{ctx: ctx, record: r, done: make(chan Applied, 1)}
	id := string(r.GetId())
	t.mu.Lock()
	t.waiting[id] = p
	t.mu.Unlock()
	defer t.removeWaiting(id)
	select {
	case t.queue <- p:
	case <-ctx.Done():
		return Applied{}, errors.Wrap(ctx.Err(), "append not sent")
	}
	select {
	case a := <-p.done:
		return a, nil
	case <-ctx.Done():
		return Applied{}, errors.Wrap(ctx.Err(), "append not read back")
	}
}

func (t *Tail) removeWaiting(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.waiting, id)
}

// group gathers records and appends them, a few appends in flight at a time so
// that one lost answer holds up nobody else.
func (t *Tail) startAppender(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		inFlight := make(chan struct{}, maxInFlight)
		for {
			batch := t.gatherBatch(ctx)
			if batch == nil {
				break
			}
			inFlight <- struct{}{}
			go func() {
				t.appendUntilRead(ctx, batch)
				<-inFlight
			}()
		}
		for range maxInFlight {
			inFlight <- struct{}{}
		}
		done <- nil
	}()
	return done
}

// gather waits for a record and takes those that come within the group time.
func (t *Tail) gatherBatch(ctx context.Context) []*pending {
	var batch []*pending
	select {
	case p := <-t.queue:
		batch = append(batch, p)
	case <-ctx.Done():
		return nil
	}
	limit := time.NewTimer(t.settings.group())
	defer limit.Stop()
	for len(batch) < maxBatchRecords {
		select {
		case p := <-t.queue:
			batch = append(batch, p)
		case <-limit.C:
			return batch
		}
	}
	return batch
}

// send appends a batch until each record was read back or given up. The ids
// stay the same, so the fold drops what lands twice.
func (t *Tail) appendUntilRead(ctx context.Context, batch []*pending) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = minRetryDelay
	pause.MaxInterval = maxRetryDelay
	for first := true; ; first = false {
		batch = t.stillWaiting(batch)
		if len(batch) == 0 || ctx.Err() != nil {
			return
		}
		if !first {
			t.retries.Add(1)
		}
		if t.appendBatch(ctx, batch) == nil {
			return
		}
		sleep(ctx, pause.NextBackOff())
	}
}

func (t *Tail) appendBatch(ctx context.Context, batch []*pending) error {
	b := &wire.Batch{}
	for _, p := range batch {
		b.Records = append(b.Records, p.record)
	}
	data, err := proto.Marshal(b)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "batch of %d records", len(batch)))
	}
	appendCtx, cancel := context.WithTimeout(ctx, t.settings.append())
	defer cancel()
	t.appends.Add(1)
	_, err = t.log.Append(appendCtx, data)
	return err
}

// unsettled returns the records that somebody still waits for.
func (t *Tail) stillWaiting(batch []*pending) []*pending {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*pending
	for _, p := range batch {
		if t.waiting[string(p.record.GetId())] == p && p.ctx.Err() == nil {
			out = append(out, p)
		}
	}
	return out
}
