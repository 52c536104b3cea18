package owner

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/codec"
	"github.com/berylspar/spar/link"
	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	// departureTimeout bounds how long an ended term tries to write a departure. Later
	// the leases on the worker are over anyway.
	departureTimeout = 20 * time.Second
	// maxLifeIDBytes is the longest ID of a life that a key holds.
	maxLifeIDBytes = 200
)

// departures holds the lives of workers that have left in a term, until a commit has
// stored that their runs are over.
type departures struct {
	// unstored are those of which no commit was prepared yet, inFlight those of the
	// commit in flight.
	unstored, inFlight []spar.Life
}

func (d *departures) add(l spar.Life) { d.unstored = append(d.unstored, l) }

// prepared is called when a commit is prepared, stored when it is stored.
func (d *departures) prepared() { d.inFlight, d.unstored = append(d.inFlight, d.unstored...), nil }

func (d *departures) stored() { d.inFlight = nil }

// handOverDepartures writes the departures of an ended term that it could not store. The
// next owner would wait for the leases on workers that do not exist any more. The channel
// receives nil when all are written, the context ends or departureTimeout is over.
func (t *term) handOverDepartures(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	t.stateMu.Lock()
	lives := slices.Concat(t.departures.inFlight, t.departures.unstored)
	t.stateMu.Unlock()
	go func() {
		ctx, cancel := context.WithTimeout(ctx, departureTimeout)
		defer cancel()
		for _, l := range lives {
			if len(l.ID) <= maxLifeIDBytes {
				t.writeDeparture(ctx, l)
			}
		}
		done <- nil
	}()
	return done
}

// writeDeparture writes one departure and repeats that until it is answered or the context
// ends.
func (t *term) writeDeparture(ctx context.Context, l spar.Life) {
	value, err := msgpack.Marshal(&l)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encode life %s", l.ID))
	}
	r := spar.Record{Key: departurePrefix + l.ID, Value: value}
	err = t.retryStoreCall(ctx, 0, func() error { return t.Candidate.jobs.Write(ctx, r) })
	t.Info("departure of a worker handed over", "worker", l.ID, "epoch", t.epoch, "err", err)
}

// applyDepartures ends the lives that earlier owners report as over, and has the records
// dropped.
func (t *term) applyDepartures(records []spar.Record) {
	for _, r := range records {
		if !strings.HasPrefix(r.Key, departurePrefix) || len(r.Value) == 0 {
			continue
		}
		t.handledDepartures = append(t.handledDepartures, r.Key)
		l, err := codec.Decode[spar.Life](r.Value)
		if err != nil {
			t.Warn("could not decode a departure", "key", r.Key, "err", err)
			continue
		}
		t.scheduler.EndLife(l)
	}
}

// applyReported applies a departure that an agent has told this entry. It has no effect
// before the stored state is restored.
func (t *term) applyReported(d link.Departure) {
	t.stateMu.Lock()
	defer t.stateMu.Unlock()
	if life, over := t.scheduler.ApplyDeparture(d, time.Now()); over {
		t.departures.add(life)
	}
	t.wakeLoop()
}

// applyKept applies the departures that this entry keeps to the state that was restored.
// Later ones are applied when they arrive. The term's lock is held.
func (t *term) applyKept(now time.Time) {
	for _, d := range t.kept.list(t.clock()) {
		if life, over := t.scheduler.ApplyDeparture(d, now); over {
			t.departures.add(life)
		}
	}
}
