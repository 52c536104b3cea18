package owner

import (
	"context"
	"math/rand/v2"
	"net"
	"net/url"
	"strings"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/hedge"
	"github.com/berylspar/spar/link"
	"github.com/berylspar/spar/shard"
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// relayTimeout bounds how long an entry tries to store a record for another.
const relayTimeout = 1200 * time.Millisecond

// maxGatherTries bounds how often a record is sent to an owner that gathers and
// does not answer. Writing it directly would lengthen the queue at the store that
// the owner waits in.
const maxGatherTries = 2

// minRelayTime is how much time a caller must have left for its record to be sent to
// another entry. With less, a refusal that is certain would become an unknown outcome.
const minRelayTime = 100 * time.Millisecond

// relayMemory is how long a record that another entry stored shows that entries
// reach the store.
const relayMemory = 3 * time.Second

// publishTimeout bounds how long publishing the address delays the next join.
const publishTimeout = 300 * time.Millisecond

// Submissions and cancels are written to the store, so that they work while there
// is no owner. Storing a record twice has no further effect, so when this entry is
// refused or its answer is late, the record is also sent through another entry,
// which may reach the store when this one does not.

// Submit stores a submission. It fails with spar.ErrInvalid if the store would refuse
// the record for its size, and with ErrNoRoom if the owner has no memory for the job; in
// doubt is then only whether an earlier try was stored.
func (c *Client) Submit(ctx context.Context, j spar.Job) error {
	r := spar.Record{Key: JobPrefix + j.ID, Value: shard.EncodeJob(j)}
	if err := c.candidate.settings.checkValue(r); err != nil {
		return errors.Wrapf(err, "steps: %d", len(j.Steps))
	}
	if err := c.makeRoom(ctx, &j); err != nil {
		return err
	}
	c.candidate.tries.begin(j.ID, time.Now())
	err := c.write(ctx, r)
	c.candidate.tries.end(j.ID, outcomeOf(err), time.Now())
	return err
}

// outcomeOf tells what the result of a write says about a try.
func outcomeOf(err error) TryOutcome {
	switch {
	case err == nil:
		return Stored
	case errors.Is(err, spar.ErrRefused):
		return NotTried
	}
	return InDoubt
}

// Cancel stores a cancel.
func (c *Client) Cancel(ctx context.Context, id string) error {
	return c.write(ctx, spar.Record{Key: CancelPrefix + id, Value: []byte{1}})
}

// write stores a record. It is refused only if neither this entry nor another one
// can have stored it, and the owner, if it can be reached, does not know the job.
func (c *Client) write(ctx context.Context, r spar.Record) error {
	err := c.writeAnywhere(ctx, r)
	if err != nil && c.candidate.knows(r) {
		return nil
	}
	return err
}

func (c *Client) writeAnywhere(ctx context.Context, r spar.Record) error {
	gathered := sendToOwner(c.gatheringOwner, func(owner string) error { return c.relay(ctx, owner, r) })
	if gathered == nil || ctx.Err() != nil {
		return gathered
	}
	err := c.writeDirectly(ctx, r)
	if errors.Is(gathered, spar.ErrUnknown) && errors.Is(err, spar.ErrRefused) {
		return errors.Mark(errors.Newf("%v, and then: %v", gathered, err), spar.ErrUnknown)
	}
	return err
}

// sendToOwner sends a record to the owner that gathers, if there is one, and
// again if it does not answer. It is refused only if no try can have had an
// effect.
func sendToOwner(gatheringOwner func() string, send func(owner string) error) error {
	var unanswered error
	for range maxGatherTries {
		owner := gatheringOwner()
		if owner == "" {
			break
		}
		err := send(owner)
		if err == nil {
			return nil
		}
		if errors.Is(err, spar.ErrRefused) {
			break
		}
		unanswered = errors.Mark(errors.Wrapf(err, "owner at %s", owner), spar.ErrUnknown)
	}
	if unanswered != nil {
		return unanswered
	}
	return errors.Mark(errors.New("no owner gathers records"), spar.ErrRefused)
}

// gatheringOwner returns the address of the owner if the store is so slow that
// the owner should append the records of all entries: a partition carries out its
// appends one after another, and one for each entry would wait for the others.
// It returns "" if the store is fast, or if no other entry is known to be the
// owner.
func (c *Client) gatheringOwner() string {
	if !c.candidate.store.IsSlow() || c.candidate.currentTerm() != nil {
		return ""
	}
	owner := c.directory.Owner()
	if owner == nil || owner.PeerAddress == c.candidate.self.PeerAddress {
		return ""
	}
	return owner.PeerAddress
}

// writeDirectly stores a record through this entry, or through another one when
// this one is refused or gets no answer in time.
func (c *Client) writeDirectly(ctx context.Context, r spar.Record) error {
	c.writeLatency.RaiseTo(c.candidate.store.MeanDuration())
	_, err := hedge.Do(ctx, &c.writeLatency, func(ctx context.Context, try int) (int64, error) {
		if try == 0 {
			return 0, c.candidate.jobs.Write(ctx, r)
		}
		return 0, c.relayToPeer(ctx, r)
	})
	if !errors.Is(err, spar.ErrRefused) || ctx.Err() != nil {
		return err
	}
	// The owner knows whether the job was stored before.
	if relayed := c.relayToOwner(ctx, r); !errors.Is(relayed, spar.ErrRefused) {
		return relayed
	}
	if relayed := c.relayToPeer(ctx, r); !errors.Is(relayed, spar.ErrRefused) {
		return relayed
	}
	return err
}

// relayToOwner stores a record through the owner. It is refused if no other entry is
// known to be the owner.
func (c *Client) relayToOwner(ctx context.Context, r spar.Record) error {
	owner := c.directory.Owner()
	if owner == nil || owner.PeerAddress == c.candidate.self.PeerAddress {
		return errors.Mark(errors.New("no other entry is known to be the owner"), spar.ErrRefused)
	}
	return c.relay(ctx, owner.PeerAddress, r)
}

// relayToPeer stores a record through another entry. It is refused if none is
// known.
func (c *Client) relayToPeer(ctx context.Context, r spar.Record) error {
	peer := c.randomPeer()
	if peer == "" {
		return errors.Mark(errors.New("no other entry is known"), spar.ErrRefused)
	}
	err := c.relay(ctx, peer, r)
	if err == nil {
		c.relayedAt.Store(time.Now().UnixNano())
	}
	return err
}

// IsCutOffAlone reports whether the store does not answer this entry, while
// another one stores its records.
func (c *Client) IsCutOffAlone() bool {
	return c.candidate.store.IsSilent() && time.Since(time.Unix(0, c.relayedAt.Load())) < relayMemory
}

// randomPeer returns the address of another entry, or "" if none is known.
func (c *Client) randomPeer() string {
	var others []string
	for _, p := range c.directory.PeerAddresses() {
		if p != c.candidate.self.PeerAddress {
			others = append(others, p)
		}
	}
	if len(others) == 0 {
		return ""
	}
	return others[rand.IntN(len(others))]
}

// relay stores a record through another entry. It is refused without a call if the
// caller has too little time left for the answer.
func (c *Client) relay(ctx context.Context, peer string, r spar.Record) error {
	if left := capToDeadline(ctx, relayTimeout); left < minRelayTime {
		return errors.Mark(errors.Newf("only %s left to store the record through the entry at %s", left, peer), spar.ErrRefused)
	}
	code, _, err := c.candidate.peers.Call(fasthttp.MethodPost, peer, "/records?key="+url.QueryEscape(r.Key), r.Value, capToDeadline(ctx, relayTimeout))
	var op *net.OpError
	switch {
	case errors.As(err, &op) && op.Op == "dial":
		return errors.Mark(err, spar.ErrRefused)
	case err != nil:
		return errors.Mark(err, spar.ErrUnknown)
	}
	switch code {
	case fasthttp.StatusOK:
		c.Info("stored by another entry", "key", r.Key, "entry", peer)
		c.Counter("relayed").Inc(1)
		return nil
	case fasthttp.StatusServiceUnavailable, fasthttp.StatusRequestEntityTooLarge:
		return errors.Mark(errors.Newf("entry at %s could not store the record: status %d", peer, code), spar.ErrRefused)
	}
	return errors.Mark(errors.Newf("entry at %s answered status %d to a record", peer, code), spar.ErrUnknown)
}

// storeForPeer stores a submission or a cancel for another entry.
func (c *Candidate) storeForPeer(rc *fasthttp.RequestCtx) {
	key := string(rc.QueryArgs().Peek("key"))
	if !strings.HasPrefix(key, JobPrefix) && !strings.HasPrefix(key, CancelPrefix) || len(rc.PostBody()) == 0 {
		rc.Error("key: want that of a submission or a cancel, with a value", fasthttp.StatusBadRequest)
		return
	}
	if err := c.settings.checkValue(spar.Record{Key: key, Value: rc.PostBody()}); err != nil {
		rc.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), relayTimeout)
	defer cancel()
	// An append may still run after the request has been answered, when its body
	// is reused.
	record := spar.Record{Key: key, Value: append([]byte(nil), rc.PostBody()...)}
	err := c.jobs.Write(ctx, record)
	switch {
	case err == nil || c.knows(record):
	case errors.Is(err, spar.ErrRefused):
		rc.SetStatusCode(fasthttp.StatusServiceUnavailable)
	default:
		rc.SetStatusCode(fasthttp.StatusGatewayTimeout)
	}
}

// write appends to a topic and repeats the append when the answer is late, since
// appending a record twice has no further effect.
func (c *Candidate) write(ctx context.Context, topic string, p *spar.Producer, records []spar.Record) error {
	c.writeLatency.RaiseTo(c.store.MeanDuration())
	_, err := hedge.DoLarge(ctx, &c.writeLatency, recordsSize(records), func(ctx context.Context, _ int) (int64, error) {
		return c.store.Append(ctx, topic, p, records)
	})
	return err
}

// publishAddress stores this entry's address for the other entries.
func (c *Candidate) publishAddress(ctx context.Context) {
	if c.published {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	err := c.write(ctx, link.OwnerTopic, nil, []spar.Record{{Key: link.EntryPrefix + c.self.PeerAddress, Value: c.self.Encode()}})
	if err != nil {
		c.Warn("could not publish the entry's address", "err", err)
		return
	}
	c.published = true
}

// removeAddress removes the address that publishAddress stored.
func (c *Candidate) removeAddress(ctx context.Context) {
	if !c.published {
		return
	}
	if err := c.write(ctx, link.OwnerTopic, nil, []spar.Record{{Key: link.EntryPrefix + c.self.PeerAddress}}); err != nil {
		c.Warn("could not remove the entry's address", "err", err)
	}
}
