package owner

import (
	"context"
	"strings"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/codec"
	"github.com/berylspar/spar/link"
	"github.com/berylspar/spar/track"
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	// departuresPath is where an entry tells others the departures that it keeps.
	departuresPath = "/departures"
	// collectTime bounds the questions of a new owner to the other entries. Later the
	// leases on most of the workers are over.
	collectTime = 5 * time.Second
	// maxCollectTimeout bounds one question. Its limit doubles from askTimeout, since many
	// departures take a while on a slow link.
	maxCollectTimeout = 4 * askTimeout
)

// answerDepartures answers with the departures that this entry keeps.
func (c *Candidate) answerDepartures(rc *fasthttp.RequestCtx) {
	body, err := msgpack.Marshal(c.kept.list(c.clock()))
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encode departures"))
	}
	rc.SetBody(body)
}

// collectDepartures asks the other entries for the departures that they keep and applies
// them: this process may have been started after the agents told them. Each entry is asked
// until it answers. The channel receives nil at the end.
func (t *term) collectDepartures(ctx context.Context, entries []spar.Record) <-chan error {
	done := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, collectTime)
		defer cancel()
		var asked []chan struct{}
		for _, address := range t.otherEntries(entries) {
			answered := make(chan struct{})
			asked = append(asked, answered)
			go func() {
				defer close(answered)
				t.collectFrom(ctx, address)
			}()
		}
		for _, a := range asked {
			<-a
		}
		done <- nil
	}()
	return done
}

// otherEntries returns the addresses of the other entries among records of the owner topic.
func (t *term) otherEntries(records []spar.Record) []string {
	var out []string
	for _, r := range records {
		if !strings.HasPrefix(r.Key, link.EntryPrefix) || len(r.Value) == 0 {
			continue
		}
		e, err := link.DecodeEntryRecord(r.Value)
		if err != nil {
			t.Warn("could not decode the record of an entry", "key", r.Key, "err", err)
			continue
		}
		if e.PeerAddress != t.self.PeerAddress {
			out = append(out, e.PeerAddress)
		}
	}
	return out
}

// collectFrom applies the departures that another entry keeps.
func (t *term) collectFrom(ctx context.Context, address string) {
	for limit := askTimeout; ctx.Err() == nil; limit = min(2*limit, maxCollectTimeout) {
		begun := time.Now()
		departures, err := t.askDepartures(address, capToDeadline(ctx, limit))
		if err == nil {
			for _, d := range departures {
				t.applyReported(d)
			}
			return
		}
		track.Pause(ctx, askInterval-time.Since(begun))
		if ctx.Err() != nil {
			t.Warn("entry does not answer about departures", "epoch", t.epoch, "entry", address, "err", err)
		}
	}
}

func (t *term) askDepartures(address string, limit time.Duration) ([]link.Departure, error) {
	code, body, err := t.peers.Call(fasthttp.MethodGet, address, departuresPath, nil, limit)
	switch {
	case err != nil:
		return nil, err
	case code != fasthttp.StatusOK:
		return nil, errors.Newf("entry at %s answered status %d about departures", address, code)
	}
	out, err := codec.Decode[[]link.Departure](body)
	return out, errors.Wrapf(err, "decode departures of the entry at %s", address)
}
