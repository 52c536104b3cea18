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
	"github.com/berylspar/spar/entry/intake"
	"github.com/berylspar/spar/hedge"
	"github.com/berylspar/spar/link"
	"github.com/berylspar/spar/track"
)

// The topics of the shard, the consumer group whose members may own it, and the
// name under which owners append.
const (
	JobsTopic    = "jobs"
	stateTopic   = "state"
	ownersGroup  = "owners"
	producerName = "owner"
)

// termMargin is how long before the store's TTL a term expires, so that it is
// over before the store elects another member. It covers rounding and timers
// that fire late.
const termMargin = 100 * time.Millisecond

const (
	// joinWait is how long the answer to a join may take, and maxJoins how often the
	// join is sent in that time.
	joinWait = 1500 * time.Millisecond
	maxJoins = 7
)

// Candidate takes part in the election and owns the shard while it is elected.
type Candidate struct {
	common.Common
	settings Settings
	store    *intake.Store
	// jobs writes the records of callers.
	jobs *intake.Writer
	// adviser is nil if no queue requires advice.
	adviser spar.Adviser
	config  *config.Watcher
	// member is unique to this process.
	member string
	// self holds this entry's addresses; the epoch is set when it is elected.
	self          link.EntryRecord
	agentListener net.Listener
	// clock is a monotonic time that also advances while the instance is
	// suspended.
	clock func() time.Duration

	peers                     Peers
	grants                    grants
	witness                   witness
	directory                 *track.Directory
	writeLatency, joinLatency hedge.Latency
	// published reports whether this entry's address is stored for the others.
	published bool

	// handovers are the ends of the writers of departures; only elect's goroutine uses
	// it.
	handovers []<-chan error
	// tries are the tries to hand jobs in that this entry has seen since begunAt.
	tries   tries
	begunAt time.Time
	// kept are the departures that agents have reported to this entry.
	kept keptDepartures

	mu   sync.Mutex
	term *term
	// lastEpoch is the epoch of the last term.
	lastEpoch int64
}

// NewCandidate returns a candidate. Agents connect to the listener. The adviser
// may be nil.
func NewCandidate(c common.Common, s Settings, st spar.Store, ad spar.Adviser, w *config.Watcher, member string, self link.EntryRecord, agents net.Listener, clock func() time.Duration, p Peers) *Candidate {
	store := intake.NewStore(c, st)
	self.JobMemory = s.jobMemory()
	return &Candidate{begunAt: time.Now(), peers: p, grants: grants{last: clock()}, witness: witness{last: clock()}, Common: c, settings: s, store: store, jobs: intake.NewWriter(store, JobsTopic), adviser: ad, config: w, member: member, self: self, agentListener: agents, clock: clock}
}

// Run takes part in the election until the context ends. It then leaves the
// group, so that another member is elected without waiting for the TTL.
func (c *Candidate) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	accepting := c.acceptAgents(ctx)
	go func() {
		c.elect(ctx)
		c.endTerm(ctx, "stopped")
		for _, h := range c.handovers {
			<-h
		}
		leave, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
		defer cancel()
		c.removeAddress(leave)
		err := c.store.Leave(leave, ownersGroup, c.member)
		if err != nil {
			c.Warn("could not leave the owners group", "err", err)
		}
		done <- <-accepting
	}()
	return done
}

// elect joins the group at each join interval and applies the membership that
// the store answers.
func (c *Candidate) elect(ctx context.Context) {
	var generation int64
	failing := false
	for ctx.Err() == nil {
		begun := c.clock()
		member := spar.Member{Group: ownersGroup, Name: c.member, Topic: link.OwnerTopic, TTL: c.settings.ttl(), Generation: generation}
		membership, sent, err := c.join(ctx, member)
		switch {
		case err != nil:
			if !failing {
				failing = true
				c.Warn("could not join the owners group", "err", err)
			}
			c.endExpiredTerm(ctx)
		default:
			if failing {
				failing = false
				c.Info("joined the owners group again", "generation", membership.Generation)
			}
			generation = membership.Generation
			c.applyMembership(ctx, membership, sent)
			c.publishAddress(ctx)
		}
		track.Pause(ctx, c.settings.join()-min(c.clock()-begun, c.settings.join()*3/4))
	}
}

// join sends a join, and sends it again at each join interval at the latest while there
// is no answer: the membership lasts as long as joins arrive at the store, and on a slow
// link answers may be late. All of them have the same generation, so that none takes back
// what a later one has acknowledged. It returns when the one that was answered was sent.
func (c *Candidate) join(ctx context.Context, m spar.Member) (spar.Membership, time.Duration, error) {
	type answer struct {
		spar.Membership
		sent time.Duration
	}
	ctx, cancel := context.WithTimeout(ctx, joinWait)
	defer cancel()
	a, err := hedge.DoOften(ctx, &c.joinLatency, c.settings.join(), maxJoins, func(ctx context.Context, _ int) (answer, error) {
		sent := c.clock()
		membership, err := c.store.Join(ctx, m)
		return answer{membership, sent}, err
	})
	return a.Membership, a.sent, err
}

// applyMembership begins, extends or ends the term according to the answer to a
// join. The term's expiry counts from the time at which the join was sent.
func (c *Candidate) applyMembership(ctx context.Context, membership spar.Membership, sent time.Duration) {
	until := sent + c.settings.ttl() - termMargin
	isOwner := slices.Contains(membership.Partitions, c.settings.ownerPartition())
	t := c.currentTerm()
	switch {
	case !isOwner && t != nil:
		c.endTerm(ctx, "partition assigned to another member")
	case isOwner && t == nil:
		c.beginTerm(ctx, membership.Generation, until)
	case isOwner && t.hasFailed():
		c.endTerm(ctx, "fenced")
		c.beginTerm(ctx, membership.Generation, until)
	case isOwner && membership.Generation != t.generation && c.mayHaveLapsed(t, sent):
		// Another entry may have owned the shard in between.
		c.endTerm(ctx, "lapsed")
		c.beginTerm(ctx, membership.Generation, until)
	case isOwner:
		t.generation = membership.Generation
		t.extend(until)
	}
}

// mayHaveLapsed reports whether the membership may have ended before the join that was
// sent at a time and has just been answered was carried out. A term that takes over
// still has to store a record under its epoch, which fails if another owner came between.
func (c *Candidate) mayHaveLapsed(t *term, sent time.Duration) bool {
	return sent > t.expiresAt() || t.isReady() && c.clock() > t.expiresAt()
}

// termBits is the number of low bits of an epoch that count the terms within a
// generation. A second term in the same generation needs an epoch of its own:
// its sequence numbers start from the beginning, and under the old epoch the
// store would take them for repeats.
const termBits = 8

func (c *Candidate) beginTerm(ctx context.Context, generation int64, until time.Duration) {
	epoch := max(generation<<termBits, c.lastEpoch+1)
	c.lastEpoch = epoch
	t := newTerm(c, epoch, until)
	t.generation = generation
	c.Info("term begins", "epoch", epoch)
	c.Counter("terms").Inc(1)
	c.grants.begin(epoch)
	t.start(ctx)
	c.mu.Lock()
	c.term = t
	c.mu.Unlock()
}

func (c *Candidate) endTerm(ctx context.Context, reason string) {
	c.mu.Lock()
	t := c.term
	c.term = nil
	c.mu.Unlock()
	if t != nil {
		c.Info("term ends", "epoch", t.epoch, "why", reason)
		t.stop()
		c.handovers = slices.DeleteFunc(c.handovers, func(h <-chan error) bool { return len(h) > 0 })
		c.handovers = append(c.handovers, t.handOverDepartures(ctx))
	}
}

// endExpiredTerm ends a term that could not be renewed for so long that no more
// leases may be granted.
func (c *Candidate) endExpiredTerm(ctx context.Context) {
	if t := c.currentTerm(); t != nil && c.clock() > t.expiresAt()+c.settings.grace() {
		c.endTerm(ctx, "not renewed")
	}
}

func (c *Candidate) currentTerm() *term {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.term
}

// maxEarlierLease is how long a new owner waits for a worker that it cannot
// reach, since a lease granted by an earlier owner may still run there. That
// owner grants leases until its term and the grace period are over; the last
// part allows for a slow clock of the worker.
func (s Settings) maxEarlierLease() time.Duration {
	return s.ttl() + s.grace() + s.leaseBound()
}

// leaseBound is the longest time from the grant of a lease to its end.
func (s Settings) leaseBound() time.Duration { return s.lease() + s.lease()/20 }
