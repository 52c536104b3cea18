package tail

import (
	"context"
	"time"

	"github.com/berylspar/spar/wire"
	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
)

const (
	// idBytes is the length of a random record id.
	idBytes = 16
	// queueLength bounds the records that wait for an append. Further callers of
	// Append block.
	queueLength = 4096
	// maxBatchRecords bounds the records of one append.
	maxBatchRecords = 256
	// maxInFlight bounds the concurrent appends. With more than one, an append
	// whose answer is lost does not hold up later records.
	maxInFlight = 4
	// minRetryDelay and maxRetryDelay bound the exponential backoff of failed
	// reads and appends.
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = time.Second
)

// pending is a record that has not been read back from the log.
type pending struct {
	ctx    context.Context
	record *wire.Record
	done   chan Applied
}

// Append appends a record, repeatedly if necessary, until it is read back from
// the log, and returns its outcome. It sets the record's id if there is none. An
// error means that the context ended first; the record may still reach the log.
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

// startAppender starts to append the queued records in batches, with up to
// maxInFlight concurrent appends. The returned channel receives nil once all
// appends have ended after the context.
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

// gatherBatch waits for a record and returns it with those that are queued within
// the group time, or nil when the context has ended.
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

// appendUntilRead appends a batch until an append succeeds, or until each of its
// records was read back or its caller has stopped waiting. The record ids stay the
// same, so that the fold makes a record that was appended twice void.
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

// appendBatch appends a batch once, within the time limit of the settings.
func (t *Tail) appendBatch(ctx context.Context, batch []*pending) error {
	b := &wire.Batch{}
	for _, p := range batch {
		b.Records = append(b.Records, p.record)
	}
	data, err := proto.Marshal(b)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "marshal a batch of %d records", len(batch)))
	}
	appendCtx, cancel := context.WithTimeout(ctx, t.settings.append())
	defer cancel()
	t.appends.Add(1)
	_, err = t.log.Append(appendCtx, data)
	return err
}

// stillWaiting returns the records whose caller still waits for the outcome.
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
