package shard

import (
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/codec"
)

// grantedPrefix begins the keys of the records that tell from when on the leases of a
// young life are only those that owners have granted: leases by orders to an earlier life
// of the same name have expired then. The key ends with the node. They are apart from the
// progress, which names the lives in a form that cannot be extended.
const grantedPrefix = "#granted/"

// grantedLife is the stored form of a young life.
type grantedLife struct {
	ID   string `msgpack:"i"`
	Born int64  `msgpack:"b"`
	// From is the time of day in Unix milliseconds from which on the leases are only
	// those granted, or 0 if there was no earlier life.
	From int64 `msgpack:"f,omitempty"`
}

func (g grantedLife) life() spar.Life { return spar.Life{ID: g.ID, Born: g.Born} }

// maxNames bounds the names that namesInTerm holds.
const maxNames = 1 << 16

// namesInTerm holds the names of the workers that had a session in the first term of the
// deployment, with the time at which their life began, or severalLives. It is nil in any
// other term: sessions of earlier owners may have sent orders to a name.
type namesInTerm map[string]int64

// severalLives stands for the lives of a name that had sessions in several of them.
const severalLives = -1

// BeginFirstTerm is called before any session if no earlier owner may have had one.
func (sc *Scheduler) BeginFirstTerm() { sc.names = namesInTerm{} }

// add records that a life has a session.
func (n namesInTerm) add(l spar.Life) {
	if born, ok := n[l.ID]; ok && born != l.Born {
		n[l.ID] = severalLives
		return
	}
	n[l.ID] = l.Born
}

// isOnlyLife reports whether no other life of the same name can have received an order.
func (n namesInTerm) isOnlyLife(l spar.Life) bool { return n != nil && n[l.ID] == l.Born }

// recordName records that a life has a session. The names are given up when there are too
// many of them.
func (sc *Scheduler) recordName(l spar.Life) {
	switch {
	case sc.names == nil:
	case len(sc.names) >= maxNames:
		sc.names = nil
	default:
		sc.names.add(l)
	}
}

// strayLeaseTime is how long a lease can last that an order to an earlier life of the same
// name gives, after the worker has begun to reject such orders.
func (l Limits) strayLeaseTime() time.Duration { return l.MaxLease + spar.ClockDriftMargin(l.MaxLease) }

// grantedLife returns the record of a listed worker. Since the listing, the worker rejects
// orders to earlier lives.
func (sc *Scheduler) grantedLife(w *worker) grantedLife {
	g := grantedLife{ID: w.info.Life.ID, Born: w.info.Life.Born}
	if !sc.names.isOnlyLife(w.info.Life) {
		g.From = sc.wall.Add(w.fencedAt.Sub(sc.now) + sc.limits.strayLeaseTime()).UnixMilli()
	}
	return g
}

// strayLeasesExpire returns when leases by orders to an earlier life of the same name have
// expired on a worker that was restored, and false if that is not known.
func (sc *Scheduler) strayLeasesExpire(w *worker, now, wall time.Time) (time.Time, bool) {
	l := w.info.Life
	g := sc.grantedLives[w.node]
	switch {
	case !sc.isYoung(l, wall) || g.life() == l && g.From == 0:
		return time.Time{}, true
	case g.life() == l:
		return now.Add(time.UnixMilli(g.From).Sub(wall) + maxClockDifference), true
	}
	return time.Time{}, false
}

// isYoung reports whether an order to an earlier life of the same name may still extend
// the leases of a life at a time of day.
func (sc *Scheduler) isYoung(l spar.Life, wall time.Time) bool {
	return l.Born >= wall.Add(-maxOrderDelay-sc.limits.strayLeaseTime()-maxClockDifference).UnixMilli()
}

// grantedLifeRecords returns the records that a commit takes along: those of young lives
// with runs, and drops of those of lives that are not young any more.
func (sc *Scheduler) grantedLifeRecords() []spar.Record {
	var out []spar.Record
	for node, w := range sc.workers {
		l := w.info.Life
		if w.listed && len(w.runs) > 0 && sc.grantedLives[node].life() != l && sc.isYoung(l, sc.wall) {
			g := sc.grantedLife(w)
			sc.grantedLives[node] = g
			out = append(out, spar.Record{Key: grantedPrefix + node, Value: marshal(&g)})
		}
	}
	for node, g := range sc.grantedLives {
		// The clock of the next owner may be behind this one's.
		if !sc.isYoung(g.life(), sc.wall.Add(-maxClockDifference)) {
			delete(sc.grantedLives, node)
			out = append(out, spar.Record{Key: grantedPrefix + node})
		}
	}
	return out
}

func (sc *Scheduler) restoreGrantedLife(node string, value []byte) error {
	g, err := codec.Decode[grantedLife](value)
	if err == nil {
		sc.grantedLives[node] = g
	}
	return err
}
