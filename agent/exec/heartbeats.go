package exec

import (
	"sync"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/common"
	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"
)

// Heartbeat is a heartbeat of the worker.
type Heartbeat struct {
	Info    spar.WorkerInfo
	Address string
	// Seq increases with each heartbeat of a life.
	Seq int64
}

// HeartbeatFormat is the route and the encoding of the worker's heartbeats.
type HeartbeatFormat struct {
	// Path is the route of heartbeats. The parameter {id} is the worker's name.
	Path string
	// Decode parses the body of a heartbeat from the worker with the given ID.
	Decode func(id string, body []byte) (Heartbeat, error)
}

// Heartbeats receives the heartbeats of the machine's worker. The life with the
// latest Born is the current worker. Late heartbeats of earlier lives are
// dropped.
type Heartbeats struct {
	common.Common
	format HeartbeatFormat

	mu   sync.Mutex
	last *Heartbeat
	// lastAt is when the last heartbeat arrived, and beforeAt when the last one did of the
	// life before, which is named by before.
	lastAt   time.Time
	before   spar.Life
	beforeAt time.Time
	// deregistered is the last life that announced its end.
	deregistered spar.Life
	// deregisteredAt is when it did so, and drainedBefore whether it had reported before
	// that it drains, as each worker does that leaves by plan.
	deregisteredAt time.Time
	drainedBefore  bool
	// leaving is a life that counts as deregistered whatever it reports.
	leaving spar.Life
	// drained is the last life that was draining when the next one began.
	drained spar.Life
	changed chan struct{}
}

// NewHeartbeats returns a receiver without any heartbeat.
func NewHeartbeats(c common.Common, f HeartbeatFormat) *Heartbeats {
	return &Heartbeats{Common: c, format: f, changed: make(chan struct{}, 1)}
}

// Routes adds the routes of heartbeats and deregistrations to r.
func (b *Heartbeats) Routes(r *router.Router) {
	r.PUT(b.format.Path, b.handlePut)
	r.DELETE(b.format.Path, b.handleDelete)
}

// Load returns the last heartbeat, or nil before the first.
func (b *Heartbeats) Load() *Heartbeat {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.last
}

// HeardAt returns when the last heartbeat of the present life or of the one before arrived,
// or zero for any other life.
func (b *Heartbeats) HeardAt(l spar.Life) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.last != nil && b.last.Info.Life == l:
		return b.lastAt
	case b.before == l:
		return b.beforeAt
	}
	return time.Time{}
}

// HasLeft reports whether a life of the worker has deregistered.
func (b *Heartbeats) HasLeft(l spar.Life) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.deregistered == l
}

// HadLeft reports whether a life of the worker had deregistered at a time.
func (b *Heartbeats) HadLeft(l spar.Life, at time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.deregistered == l && !at.Before(b.deregisteredAt)
}

// HadDrainedAndLeft reports whether a life of the worker had deregistered at a time, and
// had reported before that it drains.
func (b *Heartbeats) HadDrainedAndLeft(l spar.Life, at time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.deregistered == l && b.drainedBefore && !at.Before(b.deregisteredAt)
}

// KeepDeregistered has a life that has deregistered count as draining and deregistered to
// its end. It returns false if the life has not deregistered.
func (b *Heartbeats) KeepDeregistered(l spar.Life) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.deregistered != l {
		return false
	}
	b.leaving = l
	return true
}

// WasDraining reports whether a life that is over had been draining, so that its
// end was to be expected.
func (b *Heartbeats) WasDraining(l spar.Life) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.drained == l
}

// Changed returns a channel that is signalled after a heartbeat with a new life,
// draining state or size.
func (b *Heartbeats) Changed() <-chan struct{} { return b.changed }

func (b *Heartbeats) handlePut(c *fasthttp.RequestCtx) {
	id, _ := c.UserValue("id").(string)
	r, err := b.format.Decode(id, c.PostBody())
	if err != nil {
		b.Warn("heartbeat refused", "worker", id, "err", err)
		b.Counter("heartbeats_refused").Inc(1)
		c.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if !b.Accept(r) {
		b.Info("out-of-date heartbeat dropped", "worker", id, "born", r.Info.Life.Born, "seq", r.Seq)
		b.Counter("heartbeats_late").Inc(1)
	}
}

// Accept stores a heartbeat unless it is older than the last one or a repeat of
// it. It reports whether the heartbeat was stored.
func (b *Heartbeats) Accept(r Heartbeat) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.last
	if old != nil {
		if r.Info.Life.Born < old.Info.Life.Born || r.Info.Life == old.Info.Life && r.Seq <= old.Seq {
			return false
		}
	}
	r.Info.Draining = r.Info.Draining || r.Info.Life == b.leaving
	if old != nil && old.Info.Life != r.Info.Life {
		b.before, b.beforeAt = old.Info.Life, b.lastAt
	}
	b.last, b.lastAt = &r, time.Now()
	if b.deregistered == r.Info.Life && !r.Info.Draining {
		// The call was late and of an earlier life with the same name.
		b.deregistered = spar.Life{}
	}
	if old != nil && old.Info.Draining && old.Info.Life != r.Info.Life {
		b.drained = old.Info.Life
	}
	if old == nil || old.Info.Life != r.Info.Life || old.Info.Draining != r.Info.Draining || old.Info.Size != r.Info.Size {
		b.Info("worker state changed", "worker", r.Info.Life.ID, "born", r.Info.Life.Born, "draining", r.Info.Draining, "size", r.Info.Size)
		select {
		case b.changed <- struct{}{}:
		default:
		}
	}
	return true
}

func (b *Heartbeats) handleDelete(c *fasthttp.RequestCtx) {
	id, _ := c.UserValue("id").(string)
	b.Deregister(id)
}

// Deregister records that a worker is about to shut down. The worker counts as
// draining from then on.
func (b *Heartbeats) Deregister(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.last != nil && b.last.Info.Life.ID == id {
		r := *b.last
		if b.deregistered != r.Info.Life {
			b.drainedBefore = r.Info.Draining
		}
		r.Info.Draining = true
		b.last = &r
		b.deregistered, b.deregisteredAt = r.Info.Life, time.Now()
		b.Info("worker deregistered", "worker", id)
	}
}
