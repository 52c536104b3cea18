package exec

import (
	"sync"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/common"
	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"
)

// Report is a heartbeat of the worker.
type Report struct {
	Info    spar.WorkerInfo
	Address string
	Seq     int64
}

// Format reads the worker's heartbeats.
type Format struct {
	// Path is the route of heartbeats, with the worker's name as {id}.
	Path string
	// Decode reads a heartbeat.
	Decode func(id string, body []byte) (Report, error)
}

// Beats receives the heartbeats of the machine's worker. The life that was born
// last is the worker; what comes late of an earlier one is dropped.
type Beats struct {
	common.Common
	format Format

	mu   sync.Mutex
	last *Report
	// left is the life that has said goodbye.
	left   spar.Life
	change chan struct{}
}

// NewBeats returns a receiver that has heard nothing.
func NewBeats(c common.Common, f Format) *Beats {
	return &Beats{Common: c, format: f, change: make(chan struct{}, 1)}
}

// Routes adds the heartbeats' routes.
func (b *Beats) Routes(r *router.Router) {
	r.PUT(b.format.Path, b.put)
	r.DELETE(b.format.Path, b.leave)
}

// Load returns the last heartbeat, nil before the first.
func (b *Beats) Load() *Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.last
}

// HasLeft tells whether a life of the worker has said goodbye.
func (b *Beats) HasLeft(l spar.Life) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.left == l
}

// Changed is signalled when the worker tells something new.
func (b *Beats) Changed() <-chan struct{} { return b.change }

func (b *Beats) put(c *fasthttp.RequestCtx) {
	id, _ := c.UserValue("id").(string)
	r, err := b.format.Decode(id, c.PostBody())
	if err != nil {
		b.Warn("heartbeat refused", "worker", id, "err", err)
		b.Counter("heartbeats_refused").Inc(1)
		c.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if !b.Take(r) {
		b.Info("heartbeat of the past dropped", "worker", id, "born", r.Info.Life.Born, "seq", r.Seq)
		b.Counter("heartbeats_late").Inc(1)
	}
}

// Take takes a heartbeat unless it is older than the last.
func (b *Beats) Take(r Report) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.last
	if old != nil {
		if r.Info.Life.Born < old.Info.Life.Born || r.Info.Life == old.Info.Life && r.Seq <= old.Seq {
			return false
		}
	}
	b.last = &r
	if old == nil || old.Info.Life != r.Info.Life || old.Info.Draining != r.Info.Draining || old.Info.Size != r.Info.Size {
		b.Info("worker reports", "worker", r.Info.Life.ID, "born", r.Info.Life.Born, "draining", r.Info.Draining, "size", r.Info.Size)
		select {
		case b.change <- struct{}{}:
		default:
		}
	}
	return true
}

func (b *Beats) leave(c *fasthttp.RequestCtx) {
	id, _ := c.UserValue("id").(string)
	b.Goodbye(id)
}

// Goodbye notes that a worker is about to end by plan.
func (b *Beats) Goodbye(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.last != nil && b.last.Info.Life.ID == id {
		r := *b.last
		r.Info.Draining = true
		b.last = &r
		b.left = r.Info.Life
		b.Info("worker says goodbye", "worker", id)
	}
}
