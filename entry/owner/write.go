package owner

import (
	"context"
	"math/rand/v2"
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

// takeLimit bounds how long an entry tries to store a record for another.
const relayTimeout = 1200 * time.Millisecond

// announceLimit bounds how long an announcement keeps the next join waiting.
const publishTimeout = 300 * time.Millisecond

// Submissions and cancels go by the store, so that they work while no owner is
// there. Records that are stored twice say the same, so a late answer is not
// waited for: the record goes by another entry too, which may reach the store
// where this one doesn't.

// Submit stores a submission.
func (c *Client) Submit(ctx context.Context, j spar.Job) error {
	return c.write(ctx, spar.Record{Key: JobPrefix + j.ID, Value: shard.EncodeJob(j)})
}

// Cancel stores a cancel.
func (c *Client) Cancel(ctx context.Context, id string) error {
	return c.write(ctx, spar.Record{Key: CancelPrefix + id, Value: []byte{1}})
}

func (c *Client) write(ctx context.Context, r spar.Record) error {
	_, err := hedge.Do(ctx, &c.writeLatency, func(ctx context.Context, try int) (int64, error) {
		if peer := c.randomPeer(); try > 0 && peer != "" {
			return 0, c.relay(ctx, peer, r)
		}
		return c.candidate.store.Append(ctx, JobsTopic, nil, []spar.Record{r})
	})
	return err
}

// peer returns the address of another entry, or none.
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

// relay has another entry store a record.
func (c *Client) relay(ctx context.Context, peer string, r spar.Record) error {
	code, _, err := c.callPeer(fasthttp.MethodPost, peer, "/records?key="+url.QueryEscape(r.Key), r.Value, capToDeadline(ctx, relayTimeout))
	if err != nil {
		return errors.Mark(err, spar.ErrUnknown)
	}
	switch code {
	case fasthttp.StatusOK:
		c.Info("stored by another entry", "key", r.Key, "entry", peer)
		c.Counter("relayed").Inc(1)
		return nil
	case fasthttp.StatusServiceUnavailable:
		return errors.Mark(errors.Newf("entry at %s could not store", peer), spar.ErrRefused)
	}
	return errors.Mark(errors.Newf("entry at %s answers %d", peer, code), spar.ErrUnknown)
}

// takeRecord stores a submission or a cancel for another entry.
func (c *Candidate) storeForPeer(rc *fasthttp.RequestCtx) {
	key := string(rc.QueryArgs().Peek("key"))
	if !strings.HasPrefix(key, JobPrefix) && !strings.HasPrefix(key, CancelPrefix) || len(rc.PostBody()) == 0 {
		rc.Error("key: want that of a submission or a cancel, with a value", fasthttp.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), relayTimeout)
	defer cancel()
	// The calls may outlast the request, and its body with it.
	value := append([]byte(nil), rc.PostBody()...)
	err := c.write(ctx, JobsTopic, nil, []spar.Record{{Key: key, Value: value}})
	switch {
	case err == nil:
	case errors.Is(err, spar.ErrRefused):
		rc.SetStatusCode(fasthttp.StatusServiceUnavailable)
	default:
		rc.SetStatusCode(fasthttp.StatusGatewayTimeout)
	}
}

// write appends to a topic. Records that are appended twice say the same, so a
// late answer is not waited for.
func (c *Candidate) write(ctx context.Context, topic string, p *spar.Producer, records []spar.Record) error {
	_, err := hedge.Do(ctx, &c.writeLatency, func(ctx context.Context, _ int) (int64, error) {
		return c.store.Append(ctx, topic, p, records)
	})
	return err
}

// announce tells the other entries where this one is.
func (c *Candidate) publishAddress(ctx context.Context) {
	if c.published {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	err := c.write(ctx, link.OwnerTopic, nil, []spar.Record{{Key: link.EntryPrefix + c.self.PeerAddress, Value: c.self.Encode()}})
	if err != nil {
		c.Warn("not announced", "err", err)
		return
	}
	c.published = true
}

// withdraw takes that back.
func (c *Candidate) removeAddress(ctx context.Context) {
	if !c.published {
		return
	}
	if err := c.write(ctx, link.OwnerTopic, nil, []spar.Record{{Key: link.EntryPrefix + c.self.PeerAddress}}); err != nil {
		c.Warn("not withdrawn", "err", err)
	}
}
