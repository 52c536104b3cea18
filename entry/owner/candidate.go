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
type Candidate struct {
	common.Common
	settings Settings
	store    spar.Store
	// adviser is nil where no queue needs advice.
	adviser spar.Adviser
	config  *config.Watcher
	// member is unique to this process.
	member string
	// self is what the owner record will say.
	self   link.EntryRecord
	agents net.Listener
	// clock is steady time, which goes on while the instance is suspended.
	clock func() time.Duration

	writeLatency, joinLatency hedge.Latency
	// announced says that other entries can find this one.
	published bool

	mu   sync.Mutex
	term *term
	// last is the epoch of the last term.
	lastEpoch int64
}

// NewOwner returns a member of the election. Agents connect to the listener. The
// adviser may be nil.
func NewCandidate(c common.Common, s Settings, st spar.Store, ad spar.Adviser, w *config.Watcher, member string, self link.EntryRecord, agents net.Listener, clock func() time.Duration) *Candidate {
	return &Candidate{Common: c, settings: s, store: st, adviser: ad, config: w, member: member, self: self, agents: agents, clock: clock}
}

// Run takes part until the context ends, then gives the shard up, so that the
// next owner begins at once.
func (c *Candidate) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	accepting := c.acceptAgents(ctx)
	go func() {
		c.elect(ctx)
		c.endTerm("stopped")
		leave, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
		defer cancel()
		c.removeAddress(leave)
		err := c.store.Leave(leave, group, c.member)
		if err != nil {
			c.Warn("group not left", "err", err)
		}
		done <- <-accepting
	}()
	return done
}

// elect joins the group again and again, and follows what it says.
func (c *Candidate) elect(ctx context.Context) {
	var generation int64
	failing := false
	for ctx.Err() == nil {
		sent := c.clock()
		member := spar.Member{Group: group, Name: c.member, Topic: link.OwnerTopic, TTL: c.settings.ttl(), Generation: generation}
		membership, err := hedge.Do(ctx, &c.joinLatency, func(ctx context.Context, _ int) (spar.Membership, error) { return c.store.Join(ctx, member) })
		switch {
		case err != nil:
			if !failing {
				failing = true
				c.Warn("term not renewed", "err", err)
			}
			c.endExpiredTerm()
		default:
			c.publishAddress(ctx)
			if failing {
				failing = false
				c.Info("group reached again", "generation", membership.Generation)
			}
			generation = membership.Generation
			c.applyMembership(ctx, membership, sent)
		}
		track.Pause(ctx, c.settings.join()-min(c.clock()-sent, c.settings.join()*3/4))
	}
}

// follow begins, extends or ends the term by what the group says to a join that
// was sent at a time.
func (c *Candidate) applyMembership(ctx context.Context, membership spar.Membership, sent time.Duration) {
	until := sent + c.settings.ttl() - termMargin
	isOwner := slices.Contains(membership.Parts, c.settings.ownerPartition())
	t := c.currentTerm()
	switch {
	case !isOwner && t != nil:
		c.endTerm("given to another")
	case isOwner && t == nil:
		c.beginTerm(ctx, membership.Generation, until)
	case isOwner && t.hasFailed():
		c.endTerm("fenced")
		c.beginTerm(ctx, membership.Generation, until)
	case isOwner && sent > t.expiresAt() && membership.Generation != t.generation:
		// Another may have owned the shard in between.
		c.endTerm("lapsed")
		c.beginTerm(ctx, membership.Generation, until)
	case isOwner:
		t.generation = membership.Generation
		t.extend(until)
	}
}

// termBits are the bits of an epoch that count the terms within a generation.
// A term that begins again in the same generation needs an epoch of its own: its
// sequence numbers begin anew, and the store would take them for repeats.
const termBits = 8

func (c *Candidate) beginTerm(ctx context.Context, generation int64, until time.Duration) {
	epoch := max(generation<<termBits, c.lastEpoch+1)
	c.lastEpoch = epoch
	t := newTerm(c, epoch, until)
	t.generation = generation
	c.mu.Lock()
	c.term = t
	c.mu.Unlock()
	c.Info("term begins", "epoch", epoch)
	c.Counter("terms").Inc(1)
	t.start(ctx)
}

func (c *Candidate) endTerm(reason string) {
	c.mu.Lock()
	t := c.term
	c.term = nil
	c.mu.Unlock()
	if t != nil {
		c.Info("term ends", "epoch", t.epoch, "why", reason)
		t.stop()
	}
}

// expire ends a term that could not be renewed for so long that no more leases
// may be granted.
func (c *Candidate) endExpiredTerm() {
	if t := c.currentTerm(); t != nil && c.clock() > t.expiresAt()+c.settings.grace() {
		c.endTerm("not renewed")
	}
}

func (c *Candidate) currentTerm() *term {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.term
}

// ghostWait is how long a new owner waits for a worker that it can't reach and
// that may be under an earlier owner's grants.
func (s Settings) maxEarlierLease() time.Duration {
	return s.ttl() + s.grace() + s.lease() + s.lease()/20
}

// accept takes connections of agents; without a term they are closed.
func (c *Candidate) acceptAgents(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		<-ctx.Done()
		if err := c.agents.Close(); err != nil {
			c.Warn("listener not closed", "err", err)
		}
	}()
	go func() {
		for {
			conn, err := c.agents.Accept()
			if ctx.Err() != nil {
				done <- nil
				return
			}
			if err != nil {
				done <- errors.Wrap(err, "accept agents")
				return
			}
			t := c.currentTerm()
			if t == nil || !t.isReady() {
				conn.Close()
				continue
			}
			go t.serveAgent(conn)
		}
	}()
	return done
}
