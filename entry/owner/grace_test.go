package owner

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/link"
	"github.com/berylspar/spar/stand/store"
	"github.com/berylspar/spar/track"
	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"
)

// witnessed is an owner with other entries that are its witnesses.
type witnessed struct {
	store   *store.Store
	peers   *routedPeers
	entries []*Candidate
	owner   *term
	session *session
}

// inWitnessed runs a test with an owner of some entries whose witnesses are stored.
func inWitnessed(t *testing.T, entries int, test func(t *testing.T, ctx context.Context, d *witnessed)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		d := &witnessed{store: &store.Store{}, peers: &routedPeers{}}
		for i := range entries {
			d.start(ctx, i)
		}
		d.owner = begin(ctx, t, d.entries[0], 1)
		time.Sleep(3 * time.Second)
		d.session = &session{node: "n1", token: d.owner.epoch<<tokenBits | 1}
		d.owner.stateMu.Lock()
		d.owner.scheduler.Connect("n1", spar.WorkerInfo{Life: spar.Life{ID: "i-n1", Born: 1}}, d.session.token, nil, time.Now())
		d.owner.stateMu.Unlock()
		test(t, ctx, d)
		cancel()
		stopTerms(d.entries...)
		synctest.Wait()
		time.Sleep(time.Minute)
	})
}

// start starts the process of an entry, in place of the one before.
func (d *witnessed) start(ctx context.Context, i int) {
	c := newTestCandidate(d.store, fmt.Sprintf("e%d", i), d.peers)
	directory := track.NewDirectory(store.NewClient(d.store, 1), time.Second, func(error) {})
	directory.Run(ctx)
	c.Follow(directory)
	d.peers.add(c.self.PeerAddress, c)
	c.publishAddress(ctx)
	if i == len(d.entries) {
		d.entries = append(d.entries, nil)
	}
	d.entries[i] = c
}

// endTerm has the owner's term expire, and waits for a time.
func (d *witnessed) endTerm(wait time.Duration) {
	d.owner.extend(d.owner.clock())
	time.Sleep(wait)
}

func (d *witnessed) grants() bool {
	return d.owner.applyMessage(d.session, &link.AgentMessage{Heartbeat: 1}) != nil
}

// The store is away, so that the owner can't renew its term. It goes on granting leases for
// the grace period while the other entries confirm it, also if some of them are gone.
func TestOwnerGrantsLeasesInTheGracePeriodWhileWitnessesConfirmIt(t *testing.T) {
	for _, tt := range []struct {
		entries, gone int
		want          bool
	}{{3, 0, true}, {3, 1, true}, {3, 2, false}, {5, 2, true}, {5, 3, false}, {12, 4, true}, {1, 0, true}} {
		t.Run(fmt.Sprintf("%d of %d entries gone", tt.gone, tt.entries), func(t *testing.T) {
			inWitnessed(t, tt.entries, func(t *testing.T, _ context.Context, d *witnessed) {
				for _, a := range d.owner.witnesses.stored[:tt.gone] {
					d.peers.routes.Delete(a)
				}
				time.Sleep(2 * time.Second)
				d.endTerm(4 * time.Second)
				if got := d.grants(); got != tt.want {
					t.Errorf("grants leases 4 s after its term: %v, want %v", got, tt.want)
				}
				time.Sleep(2 * time.Second)
				if d.grants() {
					t.Error("grants leases after the grace period")
				}
			})
		})
	}
}

// An owner freezes beyond its term and wakes within the grace period. What was confirmed
// before is too old: a newer owner may have asked since.
func TestOwnerThatWakesNeedsNewConfirmations(t *testing.T) {
	inWitnessed(t, 3, func(t *testing.T, _ context.Context, d *witnessed) {
		d.owner.extend(d.owner.clock())
		time.Sleep(2 * confirmInterval)
		if !d.grants() {
			t.Fatal("not confirmed in the grace period")
		}
		w := &d.owner.witnesses
		if now := d.owner.clock(); !w.mayGrant(now) || w.mayGrant(now+confirmTime) {
			t.Errorf("confirmed now: %v, want true; confirmed after %s without an answer: %v, want false", w.mayGrant(now), confirmTime, w.mayGrant(now+confirmTime))
		}
	})
}

// The owner's machine is gone, or it is cut off from the next owner but not from a witness.
// The next owner must know from the witnesses when the last lease ends, and the earlier one
// must grant none after that.
func TestNextOwnerSettlesASilentOneByItsWitnesses(t *testing.T) {
	inWitnessed(t, 3, func(t *testing.T, ctx context.Context, d *witnessed) {
		d.peers.routes.Delete("e0")
		d.owner.extend(d.owner.clock() + 700*time.Millisecond)
		next := begin(ctx, t, d.entries[1], 2)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		if left := next.predecessors.unsettled; len(left) != 0 {
			t.Fatalf("earlier owners are left: %v", left)
		}
		if at := next.predecessors.lastGrant; at.After(next.begunAt.Add(next.settings.ttl() + confirmTime)) {
			t.Errorf("the last lease is taken to be granted %s after the term began", at.Sub(next.begunAt))
		}
		if d.grants() {
			t.Error("the earlier owner grants leases that the next one does not know of")
		}
	})
}

// Too few witnesses answer the next owner: the earlier one may still be confirmed by the
// others, and the wait for the longest lease must stay.
func TestNextOwnerWaitsForTheLongestLeaseWithoutEnoughWitnesses(t *testing.T) {
	inWitnessed(t, 5, func(t *testing.T, ctx context.Context, d *witnessed) {
		for _, a := range []string{"e0", "e2", "e3"} {
			d.peers.routes.Delete(a)
		}
		next := begin(ctx, t, d.entries[1], 2)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		if left := next.predecessors.unsettled; len(left) != 1 || len(left[0].Witnesses) != 4 {
			t.Errorf("earlier owners that are left: %v, want one with four witnesses", left)
		}
	})
}

// A second owner is lost before it has settled the first. The third must know the witnesses
// of both.
func TestWitnessesOfAnUnsettledOwnerAreLeftToTheNextOne(t *testing.T) {
	inWitnessed(t, 5, func(t *testing.T, ctx context.Context, d *witnessed) {
		for _, a := range []string{"e0", "e2", "e3"} {
			d.peers.routes.Delete(a)
		}
		begin(ctx, t, d.entries[1], 2).stop()
		for _, i := range []int{2, 3} {
			d.peers.add(fmt.Sprintf("e%d", i), d.entries[i])
		}
		d.peers.routes.Delete("e1")
		third := begin(ctx, t, d.entries[2], 3)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		if slices.ContainsFunc(third.predecessors.unsettled, func(p link.Predecessor) bool { return p.PeerAddress == "e0" }) {
			t.Errorf("earlier owners that are left: %v", third.predecessors.unsettled)
		}
	})
}

// A witness has answered the next owner and restarts. It must not confirm the earlier owner,
// which it knows nothing of, before it has read who owns the shard.
func TestRestartedWitnessConfirmsNoEarlierOwner(t *testing.T) {
	inWitnessed(t, 3, func(t *testing.T, ctx context.Context, d *witnessed) {
		next := begin(ctx, t, d.entries[1], 2)
		time.Sleep(time.Second)
		d.start(ctx, 2)
		if d.entries[2].confirmOwner(d.owner.epoch) {
			t.Error("confirmed before it has read the record of the owner")
		}
		time.Sleep(time.Second)
		if d.entries[2].confirmOwner(d.owner.epoch) || !d.entries[2].confirmOwner(next.epoch) {
			t.Error("want the next owner confirmed, and not the earlier one")
		}
	})
}

// Entries come and go. The witnesses of the owner must be those that answer, and the owner
// must need those of both records while it does not know which is stored.
func TestWitnessesFollowTheEntries(t *testing.T) {
	inWitnessed(t, 3, func(t *testing.T, ctx context.Context, d *witnessed) {
		d.peers.routes.Delete("e1")
		d.start(ctx, 3)
		time.Sleep(answerMemory + 2*probeInterval)
		synctest.Wait()
		if got := slices.Sorted(slices.Values(d.owner.witnesses.stored)); !slices.Equal(got, []string{"e2", "e3"}) {
			t.Errorf("witnesses %v, want e2 and e3", got)
		}
		w := witnesses{stored: []string{"a", "b"}, confirmedAt: map[string]time.Duration{"a": time.Second}, chosen: []string{"c"}}
		if !w.mayGrant(time.Second) {
			t.Error("not confirmed by the stored witnesses")
		}
		w.beginWriting()
		if w.mayGrant(time.Second) {
			t.Error("confirmed without the witnesses of a record that may be stored")
		}
		w.confirmedAt["c"] = time.Second
		if !w.mayGrant(time.Second) {
			t.Error("not confirmed by the witnesses of both records")
		}
	})
}

// A question to a witness that names no epoch must be refused with the field, and fence no
// owner.
func TestQuestionToAWitnessWithoutEpochIsRefused(t *testing.T) {
	c := newTestCandidate(&store.Store{}, "e", &fakePeers{})
	r := router.New()
	c.AddRoutes(r)
	for path, field := range map[string]string{confirmPath: "epoch: ", fencePath: "asker: "} {
		for _, value := range []string{"", "0", "-1", "x", "9999999999999999999"} {
			var rc fasthttp.RequestCtx
			rc.Request.Header.SetMethod(fasthttp.MethodPost)
			rc.Request.SetRequestURI(path + "?epoch=" + value + "&asker=" + value)
			r.Handler(&rc)
			if code, body := rc.Response.StatusCode(), string(rc.Response.Body()); code != fasthttp.StatusBadRequest || len(body) < len(field) || body[:len(field)] != field {
				t.Errorf("%s with %q: status %d: %s", path, value, code, body)
			}
		}
	}
	if c.witness.fence != 0 {
		t.Errorf("fenced at %d", c.witness.fence)
	}
}
