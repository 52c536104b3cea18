package exec

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/common"
	"github.com/berylspar/spar/link"
	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"
)

// silentWorker answers no start. onStart runs at each of them.
type silentWorker struct {
	spar.Worker
	starts, stops atomic.Int64
	onStart       func()
}

func (w *silentWorker) Start(context.Context, spar.Target, spar.StartOrder) (spar.StartResult, error) {
	w.starts.Add(1)
	w.onStart()
	return "", errors.Mark(errors.New("time-out"), spar.ErrUnknown)
}

func (w *silentWorker) Stop(context.Context, spar.Target, spar.TaskRef, int64) error {
	w.stops.Add(1)
	return nil
}

func newRoomSession(w spar.Worker, size spar.Size) (*session, *Heartbeats) {
	c := common.Common{Logger: log.NewNopLogger(), Scope: tally.NoopScope}
	b := NewHeartbeats(c, HeartbeatFormat{})
	h := Heartbeat{Info: spar.WorkerInfo{Life: workerLife, Size: size}, Seq: 1}
	b.Accept(h)
	e := NewExecutor(c, "n", b, w, nil, nil, func() time.Duration { return 0 })
	return newSession(e, newLifeRecord(workerLife), nil, link.Welcome{Lease: time.Second}, h), b
}

// A worker that does not check its room becomes smaller than the owner knew when it
// gave an order. The agent must refuse it.
func TestOrderLargerThanTheWorkerIsRefused(t *testing.T) {
	w := &silentWorker{onStart: func() {}}
	s, _ := newRoomSession(w, spar.Size{CPUMilli: 900, MemoryMB: 1000})
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	s.start(ctx, spar.StartOrder{Run: 1, Room: spar.Size{CPUMilli: 1000, MemoryMB: 500}})
	if w.starts.Load() != 0 || len(s.outcomes) != 1 || s.outcomes[0].Result != spar.StartNoRoom {
		t.Fatalf("%d starts, outcomes %+v", w.starts.Load(), s.outcomes)
	}
}

// A start gets no answer, and the worker shrinks before it is repeated. The repeat
// would be a start beyond the room, so the run must be stopped instead.
func TestUnansweredStartIsNotRepeatedBeyondTheRoom(t *testing.T) {
	w := &silentWorker{}
	s, b := newRoomSession(w, spar.Size{CPUMilli: 1000, MemoryMB: 1000})
	w.onStart = func() {
		b.Accept(Heartbeat{Info: spar.WorkerInfo{Life: workerLife, Size: spar.Size{CPUMilli: 500, MemoryMB: 1000}}, Seq: 2})
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	s.start(ctx, spar.StartOrder{Run: 1, Room: spar.Size{CPUMilli: 1000, MemoryMB: 500}})
	if w.starts.Load() != 1 || w.stops.Load() != 1 {
		t.Fatalf("%d starts and %d stops, want one of each", w.starts.Load(), w.stops.Load())
	}
}
