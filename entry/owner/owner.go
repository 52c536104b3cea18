package owner

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/common"
	"github.com/berylspar/spar/entry/config"
	"github.com/berylspar/spar/hedge"
	"github.com/berylspar/spar/link"
	"github.com/berylspar/spar/track"
	"github.com/cockroachdb/errors"
)

// The topics of the shard, and the group whose members may own it.
const (
	JobsTopic  = "jobs"
	stateTopic = "state"
	group      = "owners"
	producer   = "owner"
)

// termMargin ends a term before the store can give it to another: it covers
// rounding and timers that fire late.
const termMargin = 100 * time.Millisecond

// Owner takes part in the election and runs the shard while it is elected.
type Owner struct {
	common.Common
	settings Settings
	store    spar.Store
	// adviser is nil where no queue needs advice.
	adviser spar.Adviser
	config  *config.Watch
	// member is unique to this process.
	member string
	// self is what the owner record will say.
	self   link.Record
	agents net.Listener
	// clock is steady time, which goes on while the instance is suspended.
	clock func() time.Duration

	writes, joins hedge.Caller
	// announced says that other entries can find this one.
	announced bool

	mu   sync.Mutex
	term *term
	// last is the epoch of the last term.
	last int64
}

// NewOwner returns a member of the election. Agents connect to the listener. The
// adviser may be nil.
func NewOwner(c common.Common, s Settings, st spar.Store, ad spar.Adviser, w *config.Watch, member string, self link.Record, agents net.Listener, clock func() time.Duration) *Owner {
	return &Owner{Common: c, settings: s, store: st, adviser: ad, config: w, member: member, self: self, agents: agents, clock: clock}
}

// Run takes part until the context ends, then gives the shard up, so that the
// next owner begins at once.
func (o *Owner) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	accepting := o.accept(ctx)
	go func() {
		o.elect(ctx)
		o.end("stopped")
		leave, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
		defer cancel()
		o.withdraw(leave)
		err := o.store.Leave(leave, group, o.member)
		if err != nil {
			o.Warn("group not left", "err", err)
		}
		done <- <-accepting
	}()
	return done
}

// elect joins the group again and again, and follows what it says.
func (o *Owner) elect(ctx context.Context) {
	var generation int64
	lost := false
	for ctx.Err() == nil {
		sent := o.clock()
		self := spar.Member{Group: group, Name: o.member, Topic: link.OwnerTopic, TTL: o.settings.ttl(), Generation: generation}
		m, err := hedge.Do(ctx, &o.joins, func(ctx context.Context, _ int) (spar.Membership, error) { return o.store.Join(ctx, self) })
		switch {
		case err != nil:
			if !lost {
				lost = true
				o.Warn("term not renewed", "err", err)
			}
			o.expire()
		default:
			o.announce(ctx)
			if lost {
				lost = false
				o.Info("group reached again", "generation", m.Generation)
			}
			generation = m.Generation
			o.follow(ctx, m, sent)
		}
		track.Pause(ctx, o.settings.join()-min(o.clock()-sent, o.settings.join()*3/4))
	}
}

// follow begins, extends or ends the term by what the group says to a join that
// was sent at a time.
func (o *Owner) follow(ctx context.Context, m spar.Membership, sent time.Duration) {
	until := sent + o.settings.ttl() - termMargin
	holds := slices.Contains(m.Partitions, o.settings.seat())
	t := o.current()
	switch {
	case !holds && t != nil:
		o.end("given to another")
	case holds && t == nil:
		o.begin(ctx, m.Generation, until)
	case holds && t.failed():
		o.end("fenced")
		o.begin(ctx, m.Generation, until)
	case holds && sent > t.until() && m.Generation != t.generation:
		// Another may have owned the shard in between.
		o.end("lapsed")
		o.begin(ctx, m.Generation, until)
	case holds:
		t.generation = m.Generation
		t.extend(until)
	}
}

// termBits are the bits of an epoch that count the terms within a generation.
// A term that begins again in the same generation needs an epoch of its own: its
// sequence numbers begin anew, and the store would take them for repeats.
const termBits = 8

func (o *Owner) begin(ctx context.Context, generation int64, until time.Duration) {
	epoch := max(generation<<termBits, o.last+1)
	o.last = epoch
	t := newTerm(o, epoch, until)
	t.generation = generation
	o.mu.Lock()
	o.term = t
	o.mu.Unlock()
	o.Info("term begins", "epoch", epoch)
	o.Counter("terms").Inc(1)
	t.start(ctx)
}

func (o *Owner) end(why string) {
	o.mu.Lock()
	t := o.term
	o.term = nil
	o.mu.Unlock()
	if t != nil {
		o.Info("term ends", "epoch", t.epoch, "why", why)
		t.stop()
	}
}

// expire ends a term that could not be renewed for so long that no more leases
// may be granted.
func (o *Owner) expire() {
	if t := o.current(); t != nil && o.clock() > t.until()+o.settings.grace() {
		o.end("not renewed")
	}
}

func (o *Owner) current() *term {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.term
}

// ghostWait is how long a new owner waits for a worker that it can't reach and
// that may be under an earlier owner's grants.
func (s Settings) ghostWait() time.Duration {
	return s.ttl() + s.grace() + s.lease() + s.lease()/20
}

// accept takes connections of agents; without a term they are closed.
func (o *Owner) accept(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		<-ctx.Done()
		if err := o.agents.Close(); err != nil {
			o.Warn("listener not closed", "err", err)
		}
	}()
	go func() {
		for {
			conn, err := o.agents.Accept()
			if ctx.Err() != nil {
				done <- nil
				return
			}
			if err != nil {
				done <- errors.Wrap(err, "accept agents")
				return
			}
			t := o.current()
			if t == nil || !t.ready() {
				conn.Close()
				continue
			}
			go t.serve(conn)
		}
	}()
	return done
}
