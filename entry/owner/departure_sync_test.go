package owner

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/link"
	"github.com/valyala/fasthttp"
)

// keepingPeers answers with the departures that the entries at its addresses keep. Others
// do not answer.
type keepingPeers map[string]*Candidate

func (p keepingPeers) Call(_, address, _ string, _ []byte, limit time.Duration) (int, []byte, error) {
	c := p[address]
	if c == nil {
		time.Sleep(limit)
		return 0, nil, fasthttp.ErrTimeout
	}
	var rc fasthttp.RequestCtx
	c.answerDepartures(&rc)
	return rc.Response.StatusCode(), rc.Response.Body(), nil
}

// The entry that owns the shard now was started after the agents had told all entries that
// a worker has left. It must learn of that from the others, also beside one that is gone,
// or it waits for the leases on the worker.
func TestRestartedEntryLearnsOfDeparturesFromOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newDepartureBench(t)
		other := &Candidate{Common: b.candidate.Common, clock: b.candidate.clock}
		other.kept.add(link.Departure{Node: "n1", Life: departedLife, Left: true}, other.clock())
		b.candidate.peers = keepingPeers{"e1": other}
		b.candidate.self.PeerAddress = "e0"
		tm := b.beginTerm(8)
		entries := []spar.Record{{Key: link.OwnerKey, Value: link.EntryRecord{PeerAddress: "e9"}.Encode()}}
		for _, a := range []string{"e0", "e1", "e2"} {
			entries = append(entries, spar.Record{Key: link.EntryPrefix + a, Value: link.EntryRecord{PeerAddress: a}.Encode()})
		}
		begun := time.Now()
		done := tm.collectDepartures(tm.ctx, append(entries, spar.Record{Key: link.EntryPrefix + "bad", Value: []byte{0xc1}}))
		time.Sleep(10 * time.Millisecond)
		synctest.Wait()
		b.connect(tm, "n2")
		b.expectStarts(tm, 2, 2)
		if err := <-done; err != nil {
			t.Error(err)
		}
		if took := time.Since(begun); took < collectTime || took > collectTime+askTimeout {
			t.Errorf("the entry without an answer was asked for %s, want %s", took, collectTime)
		}
		tm.cancel()
	})
}

// slowPeers are keepingPeers whose answers take a while.
type slowPeers struct {
	keepingPeers
	duration time.Duration
}

func (p slowPeers) Call(method, address, path string, body []byte, limit time.Duration) (int, []byte, error) {
	if p.duration > limit {
		time.Sleep(limit)
		return 0, nil, fasthttp.ErrTimeout
	}
	time.Sleep(p.duration)
	return p.keepingPeers.Call(method, address, path, body, limit)
}

// The departures of many workers take a second on a slow link. With a fixed limit the
// question was given up and asked again, so that the answers filled the link and none
// arrived.
func TestDeparturesThatTakeASecondArrive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newDepartureBench(t)
		other := &Candidate{Common: b.candidate.Common, clock: b.candidate.clock}
		other.kept.add(link.Departure{Node: "n1", Life: departedLife, Left: true}, other.clock())
		b.candidate.peers = slowPeers{keepingPeers{"e1": other}, time.Second}
		tm := b.beginTerm(8)
		begun := time.Now()
		entries := []spar.Record{{Key: link.EntryPrefix + "e1", Value: link.EntryRecord{PeerAddress: "e1"}.Encode()}}
		if err := <-tm.collectDepartures(tm.ctx, entries); err != nil {
			t.Error(err)
		}
		if took := time.Since(begun); took > 2*time.Second {
			t.Errorf("the departures arrived after %s, if at all, want 2s at most", took)
		}
		b.connect(tm, "n2")
		b.expectStarts(tm, 2, 2)
		tm.cancel()
	})
}
