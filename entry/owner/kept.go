package owner

import (
	"cmp"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/link"
	"github.com/cockroachdb/errors"
)

const (
	// departureRetention is how long a departure is kept since the agent has last sent
	// it. All leases on the worker have ended by then.
	departureRetention = time.Minute
	// maxKeptDepartures bounds the departures, and maxKeptEnds the ends of each.
	maxKeptDepartures = 1000
	maxKeptEnds       = 5000
)

// keptDepartures holds the departures that agents have told this entry, by life. The zero
// value is empty.
type keptDepartures struct {
	mu     sync.Mutex
	byLife map[spar.Life]keptDeparture
}

type keptDeparture struct {
	link.Departure
	// at is when the agent has last sent it, on the candidate's clock.
	at time.Duration
}

// add adds a departure to what is known of its life. Of bounds of its leases the last one
// holds, also if it is none: a new agent process may extend leases that the one before did
// not. If there are too many departures, the one that is kept longest is dropped.
func (k *keptDepartures) add(d link.Departure, now time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.byLife == nil {
		k.byLife = map[spar.Life]keptDeparture{}
	}
	if old, ok := k.byLife[d.Life]; ok {
		d.Ended, d.Left = mergeEnds(old.Ended, d.Ended), d.Left || old.Left
	}
	d.Ended = d.Ended[max(len(d.Ended)-maxKeptEnds, 0):]
	k.byLife[d.Life] = keptDeparture{d, now}
	if len(k.byLife) <= maxKeptDepartures {
		return
	}
	oldest := d.Life
	for l, o := range k.byLife {
		if o.at < k.byLife[oldest].at {
			oldest = l
		}
	}
	delete(k.byLife, oldest)
}

// mergeEnds returns the ends in both lists, once each, in the order of their numbers.
func mergeEnds(a, b []spar.Ended) []spar.Ended {
	out := slices.Concat(a, b)
	slices.SortStableFunc(out, func(x, y spar.Ended) int { return cmp.Compare(x.Number, y.Number) })
	return slices.CompactFunc(out, func(x, y spar.Ended) bool { return x.Number == y.Number })
}

// list returns the departures that are kept, and drops those whose retention is over.
func (k *keptDepartures) list(now time.Duration) []link.Departure {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []link.Departure
	for l, d := range k.byLife {
		if now-d.at > departureRetention {
			delete(k.byLife, l)
			continue
		}
		out = append(out, *d.After(now - d.at))
	}
	return out
}

// receiveDepartures keeps, applies and answers the departures of a connection until the
// agent closes it.
func (c *Candidate) receiveDepartures(conn *link.Conn[link.AgentMessage, link.OwnerMessage], m *link.AgentMessage) error {
	for {
		d := m.Departure
		switch {
		case d == nil:
			return errors.New("message without a departure")
		case d.Node == "" || len(d.Node) > maxLifeIDBytes:
			return errors.Newf("departure with a node of %d bytes, want 1 to %d", len(d.Node), maxLifeIDBytes)
		case d.Life.ID == "" || len(d.Life.ID) > maxLifeIDBytes:
			return errors.Newf("departure with a life of %d bytes, want 1 to %d", len(d.Life.ID), maxLifeIDBytes)
		}
		c.Info("departure kept", "node", d.Node, "worker", d.Life.ID, "born", d.Life.Born, "ends", len(d.Ended), "left", d.Left, "lease_left", d.LeaseLeft)
		c.Counter("departures_kept").Inc(1)
		// A term that begins meanwhile finds it among those that are kept.
		c.kept.add(*d, c.clock())
		if t := c.currentTerm(); t != nil {
			t.applyReported(*d)
		}
		if err := conn.Send(&link.OwnerMessage{DepartureKept: true}); err != nil {
			return err
		}
		var err error
		if m, err = conn.Receive(silenceTimeout); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
	}
}
