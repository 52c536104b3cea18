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
const takeLimit = 1200 * time.Millisecond

// announceLimit bounds how long an announcement keeps the next join waiting.
const announceLimit = 300 * time.Millisecond

// Submissions and cancels go by the store, so that they work while no owner is
// there. Records that are stored twice say the same, so a late answer is not
// waited for: the record goes by another entry too, which may reach the store
// where this one doesn't.

// Submit stores a submission.
func (a *Asker) Submit(ctx context.Context, j spar.Job) error {
	return a.write(ctx, spar.Record{Key: JobPrefix + j.ID, Value: shard.EncodeJob(j)})
}

// Cancel stores a cancel.
func (a *Asker) Cancel(ctx context.Context, id string) error {
	return a.write(ctx, spar.Record{Key: CancelPrefix + id, Value: []byte{1}})
}

func (a *Asker) write(ctx context.Context, r spar.Record) error {
	_, err := hedge.Do(ctx, &a.writes, func(ctx context.Context, try int) (int64, error) {
		if peer := a.peer(); try > 0 && peer != "" {
			return 0, a.relay(ctx, peer, r)
		}
		return a.owner.store.Append(ctx, JobsTopic, nil, []spar.Record{r})
	})
	return err
}

// peer returns the address of another entry, or none.
func (a *Asker) peer() string {
	var others []string
	for _, p := range a.place.Entries() {
		if p != a.owner.self.Peers {
			others = append(others, p)
		}
	}
	if len(others) == 0 {
		return ""
	}
	return others[rand.IntN(len(others))]
}

// relay has another entry store a record.
func (a *Asker) relay(ctx context.Context, peer string, r spar.Record) error {
	code, _, err := a.call(fasthttp.MethodPost, peer, "/records?key="+url.QueryEscape(r.Key), r.Value, within(ctx, takeLimit))
	if err != nil {
		return errors.Mark(err, spar.ErrUnknown)
	}
	switch code {
	case fasthttp.StatusOK:
		a.Info("stored by another entry", "key", r.Key, "entry", peer)
		a.Counter("relayed").Inc(1)
		return nil
	case fasthttp.StatusServiceUnavailable:
		return errors.Mark(errors.Newf("entry at %s could not store", peer), spar.ErrRefused)
	}
	return errors.Mark(errors.Newf("entry at %s answers %d", peer, code), spar.ErrUnknown)
}

// takeRecord stores a submission or a cancel for another entry.
func (o *Owner) takeRecord(c *fasthttp.RequestCtx) {
	key := string(c.QueryArgs().Peek("key"))
	if !strings.HasPrefix(key, JobPrefix) && !strings.HasPrefix(key, CancelPrefix) || len(c.PostBody()) == 0 {
		c.Error("key: want that of a submission or a cancel, with a value", fasthttp.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), takeLimit)
	defer cancel()
	// The calls may outlast the request, and its body with it.
	value := append([]byte(nil), c.PostBody()...)
	err := o.write(ctx, JobsTopic, nil, []spar.Record{{Key: key, Value: value}})
	switch {
	case err == nil:
	case errors.Is(err, spar.ErrRefused):
		c.SetStatusCode(fasthttp.StatusServiceUnavailable)
	default:
		c.SetStatusCode(fasthttp.StatusGatewayTimeout)
	}
}

// write appends to a topic. Records that are appended twice say the same, so a
// late answer is not waited for.
func (o *Owner) write(ctx context.Context, topic string, p *spar.Producer, records []spar.Record) error {
	_, err := hedge.Do(ctx, &o.writes, func(ctx context.Context, _ int) (int64, error) {
		return o.store.Append(ctx, topic, p, records)
	})
	return err
}

// announce tells the other entries where this one is.
func (o *Owner) announce(ctx context.Context) {
	if o.announced {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, announceLimit)
	defer cancel()
	err := o.write(ctx, link.OwnerTopic, nil, []spar.Record{{Key: link.EntryPrefix + o.self.Peers, Value: o.self.Encode()}})
	if err != nil {
		o.Warn("not announced", "err", err)
		return
	}
	o.announced = true
}

// withdraw takes that back.
func (o *Owner) withdraw(ctx context.Context) {
	if !o.announced {
		return
	}
	if err := o.write(ctx, link.OwnerTopic, nil, []spar.Record{{Key: link.EntryPrefix + o.self.Peers}}); err != nil {
		o.Warn("not withdrawn", "err", err)
	}
}
