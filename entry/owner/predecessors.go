package owner

import (
	"context"
	"slices"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/link"
	"github.com/berylspar/spar/track"
	"github.com/cockroachdb/errors"
)

const (
	// askInterval is the time between two questions to an earlier owner, and
	// askTimeout bounds one.
	askInterval = 200 * time.Millisecond
	askTimeout  = 300 * time.Millisecond
	// reconnectTime is how long a new owner waits at least for an agent to connect,
	// whose ends of runs may not have been stored.
	reconnectTime = 2 * time.Second
)

// predecessors are the earlier owners that may have granted leases which this term knows
// nothing of.
type predecessors struct {
	// unsettled are those that have not answered.
	unsettled []link.Predecessor
	// lastGrant is when the others granted their last lease, at the latest.
	lastGrant time.Time
	// waitUntil is when all leases have expired, also those of owners that do not
	// answer.
	waitUntil time.Time
	// recordSeq is the sequence number of the last append to the owner topic.
	recordSeq int64
}

// settlement is the end of the questions to an earlier owner. The answer is empty if
// there was none.
type settlement struct {
	predecessor link.Predecessor
	answer      grantsAnswer
	receivedAt  time.Time
	// grantedUntil is when the last lease was granted, at the latest, if its witnesses have
	// answered.
	grantedUntil time.Time
}

// findPredecessors returns the earlier owners whose grants are not settled, from the
// records of the owner topic. Without any progress no run was ever started under a
// lease. A process answers for all its terms and those of earlier processes at its
// address, so each address is listed once.
func (t *term) findPredecessors(records, progress []spar.Record) []link.Predecessor {
	unknown := []link.Predecessor{{}}
	i := slices.IndexFunc(records, func(r spar.Record) bool { return r.Key == link.OwnerKey })
	if i < 0 && len(progress) == 0 {
		return nil
	}
	if i < 0 {
		return unknown
	}
	r, err := link.DecodeEntryRecord(records[i].Value)
	if err != nil {
		t.Warn("could not decode the record of the earlier owner", "err", err)
		return unknown
	}
	if !r.ListsPredecessors {
		return unknown
	}
	out := []link.Predecessor{{Epoch: r.Epoch, PeerAddress: r.PeerAddress, Witnesses: r.Witnesses}}
	for _, p := range r.Predecessors {
		if !slices.ContainsFunc(out, func(q link.Predecessor) bool { return q.PeerAddress == p.PeerAddress }) {
			out = append(out, p)
		}
	}
	return out
}

// settleOwn settles the earlier terms at this entry's own address.
func (t *term) settleOwn() {
	p := &t.predecessors
	p.unsettled = slices.DeleteFunc(p.unsettled, func(q link.Predecessor) bool {
		if q.PeerAddress == "" || q.PeerAddress != t.self.PeerAddress {
			return false
		}
		age, restarted := t.grants.settle(q.Epoch, t.epoch, t.clock)
		p.addGrant(time.Now().Add(-age))
		t.Info("grants of an earlier owner settled", "epoch", t.epoch, "owner", q.Epoch, "address", q.PeerAddress, "age", age, "how", "own", "restarted", restarted)
		t.Counter("grants_settled").Inc(1)
		return true
	})
}

func (p *predecessors) addGrant(at time.Time) {
	if at.After(p.lastGrant) {
		p.lastGrant = at
	}
}

// ownerRecord returns the record that is published for other entries and agents.
func (t *term) ownerRecord() []spar.Record {
	r := t.self
	r.Epoch, r.ListsPredecessors, r.Predecessors = t.epoch, true, t.predecessors.unsettled
	r.Witnesses = t.witnesses.beginWriting()
	return []spar.Record{{Key: link.OwnerKey, Value: r.Encode()}}
}

// settlePredecessors asks the earlier owners about their grants until each has answered
// or all leases have expired anyway, and writes the owner record when they or the witnesses
// have changed. The channel receives nil when the context ends, or why the owner record
// could not be written.
func (t *term) settlePredecessors(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() { done <- t.collectAnswers(ctx) }()
	return done
}

func (t *term) collectAnswers(ctx context.Context) error {
	p := &t.predecessors
	readyAt := time.Now()
	t.shortenWait(readyAt)
	asking, cancel := context.WithDeadline(ctx, p.waitUntil)
	defer cancel()
	answers := make(chan settlement, len(p.unsettled))
	for _, q := range p.unsettled {
		go func() { answers <- t.askUntilAnswered(asking, q) }()
	}
	var written <-chan error
	var failure error
	pending, changed, ended := len(p.unsettled), false, ctx.Done()
	for ctx.Err() == nil || pending > 0 || written != nil {
		select {
		case <-ended:
			ended = nil
		case a := <-answers:
			pending--
			if ctx.Err() == nil {
				changed = true
				t.applySettlement(a, readyAt)
			}
		case <-t.witnessesChanged:
			changed = true
		case failure = <-written:
			if written = nil; failure == nil {
				t.witnesses.endWriting()
			}
		}
		if changed && written == nil && failure == nil && ctx.Err() == nil {
			changed, written = false, t.rewriteRecord(ctx)
		}
	}
	return failure
}

// askUntilAnswered asks an earlier owner until it answers or the context ends.
func (t *term) askUntilAnswered(ctx context.Context, p link.Predecessor) settlement {
	if p.PeerAddress == "" {
		<-ctx.Done()
	}
	confirmed := map[string]time.Time{}
	for tries := 1; ctx.Err() == nil; tries++ {
		begun := time.Now()
		a, err := t.askGrants(p)
		if err == nil {
			return settlement{predecessor: p, answer: a, receivedAt: time.Now()}
		}
		if until, ok := t.askWitnesses(p, confirmed); ok {
			return settlement{predecessor: p, grantedUntil: until}
		}
		if tries == 1 {
			t.Warn("earlier owner does not answer about its grants; asking again", "epoch", t.epoch, "owner", p.Epoch, "address", p.PeerAddress, "err", err)
		}
		track.Pause(ctx, askInterval-time.Since(begun))
	}
	return settlement{predecessor: p}
}

// askWitnesses asks the witnesses of an earlier owner that have not answered yet; confirmed
// holds when the others have last confirmed it. It returns until when the owner can have
// granted leases, and whether enough of them have answered. Until its term was over the owner
// needed no witness: the store may have elected this one before that.
func (t *term) askWitnesses(p link.Predecessor, confirmed map[string]time.Time) (time.Time, bool) {
	type answer struct {
		address string
		at      time.Time
		err     error
	}
	answers := make(chan answer, len(p.Witnesses))
	asked := 0
	for _, a := range p.Witnesses {
		if _, ok := confirmed[a]; !ok {
			asked++
			go func() {
				at, err := t.askWitness(a)
				answers <- answer{a, at, err}
			}()
		}
	}
	for range asked {
		if a := <-answers; a.err == nil {
			confirmed[a.address] = a.at
		}
	}
	until := t.begunAt.Add(t.settings.ttl())
	for _, at := range confirmed {
		if end := at.Add(confirmTime); end.After(until) {
			until = end
		}
	}
	return until, len(p.Witnesses) > 0 && len(confirmed) >= fenceQuorum(len(p.Witnesses))
}

// applySettlement takes an earlier owner off the list. The next owner may ask this
// process alone, so its answer must not be older than the one applied here.
func (t *term) applySettlement(s settlement, readyAt time.Time) {
	p, q := &t.predecessors, s.predecessor
	p.unsettled = slices.DeleteFunc(p.unsettled, q.IsSame)
	if !s.grantedUntil.IsZero() {
		t.grants.raise(t.clock() + time.Until(s.grantedUntil))
		p.addGrant(s.grantedUntil)
		until := t.shortenWait(readyAt)
		t.Info("grants of an earlier owner settled", "epoch", t.epoch, "owner", q.Epoch, "address", q.PeerAddress, "how", "witnesses", "left", len(p.unsettled), "wait", time.Until(until))
		t.Counter("grants_settled_by_witnesses").Inc(1)
		return
	}
	if s.answer.LastGrantAgeMS == nil {
		t.Info("leases of an earlier owner have expired", "epoch", t.epoch, "owner", q.Epoch, "address", q.PeerAddress, "left", len(p.unsettled))
		t.Counter("grants_not_settled").Inc(1)
		return
	}
	age, how := s.answer.age(), "ended"
	if s.answer.Restarted {
		how = "restarted"
	}
	t.grants.raise(t.clock() - age)
	p.addGrant(s.receivedAt.Add(-age))
	until := t.shortenWait(readyAt)
	t.Info("grants of an earlier owner settled", "epoch", t.epoch, "owner", q.Epoch, "address", q.PeerAddress, "age", age, "how", how, "left", len(p.unsettled), "wait", time.Until(until))
	t.Counter("grants_settled").Inc(1)
}

// shortenWait shortens the wait for the workers that have not connected in this term if
// all earlier owners are settled. It returns the end of the wait.
func (t *term) shortenWait(readyAt time.Time) time.Time {
	p := &t.predecessors
	end := p.lastGrant.Add(t.settings.leaseBound())
	if earliest := readyAt.Add(reconnectTime); end.Before(earliest) {
		end = earliest
	}
	if len(p.unsettled) > 0 || end.After(p.waitUntil) {
		return p.waitUntil
	}
	now := time.Now()
	t.stateMu.Lock()
	t.scheduler.ShortenRestoredLeases(end, now, now)
	t.stateMu.Unlock()
	t.wakeLoop()
	return end
}

// rewriteRecord stores the owner record with the predecessors that are left. The channel
// receives nil if it is stored or the context ends.
func (t *term) rewriteRecord(ctx context.Context) <-chan error {
	t.predecessors.recordSeq++
	seq, records := t.predecessors.recordSeq, t.ownerRecord()
	done := make(chan error, 1)
	go func() {
		err := t.appendOnce(ctx, link.OwnerTopic, seq, records)
		if errors.Is(err, spar.ErrFenced) {
			t.fail(err)
		}
		if ctx.Err() != nil {
			err = nil
		}
		done <- errors.Wrap(err, "store the owner record")
	}()
	return done
}
