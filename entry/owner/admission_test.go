package owner

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/admit"
	"github.com/berylspar/spar/entry/intake"
	"github.com/berylspar/spar/link"
	"github.com/berylspar/spar/stand/store"
	"github.com/berylspar/spar/track"
	"github.com/cockroachdb/errors"
	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"
)

// routedPeers calls the routes of the entries at its addresses. Others do not answer.
type routedPeers struct{ routes sync.Map }

func (p *routedPeers) add(address string, c *Candidate) {
	r := router.New()
	c.AddRoutes(r)
	p.routes.Store(address, r.Handler)
}

func (p *routedPeers) Call(method, address, path string, body []byte, _ time.Duration) (int, []byte, error) {
	handler, ok := p.routes.Load(address)
	if !ok {
		return 0, nil, errors.New("no answer")
	}
	var rc fasthttp.RequestCtx
	rc.Request.Header.SetMethod(method)
	rc.Request.SetRequestURI(path)
	rc.Request.SetBody(body)
	handler.(func(*fasthttp.RequestCtx))(&rc)
	return rc.Response.StatusCode(), append([]byte(nil), rc.Response.Body()...), nil
}

// crowded is a deployment of three entries whose owner has a backlog of a minute.
type crowded struct {
	peers  *routedPeers
	owner  *term
	other  *Candidate
	client *Client
}

var deskQueue = spar.Queue{Name: "plans", Service: "desk", Priority: 2, Stretch: 2, Slack: time.Second, MaxAttempts: 2}

func newCrowded(ctx context.Context, t *testing.T) *crowded {
	s, p := &store.Store{}, &routedPeers{}
	var entries []*Candidate
	for i := range 3 {
		c := newTestCandidate(s, fmt.Sprintf("e%d", i), p)
		c.settings.Admission.Mode = admissionOn
		p.add(c.self.PeerAddress, c)
		c.publishAddress(ctx)
		entries = append(entries, c)
	}
	d := &crowded{peers: p, owner: begin(ctx, t, entries[0], 1), other: entries[2]}
	directory := track.NewDirectory(store.NewClient(s, 1), time.Second, func(error) {})
	directory.Run(ctx)
	d.client = NewClient(entries[1].Common, entries[1], directory)
	d.owner.stateMu.Lock()
	now, sc := time.Now(), d.owner.scheduler
	sc.Connect("n", spar.WorkerInfo{Life: spar.Life{ID: "i", Born: 1}, Service: "desk", Size: spar.Size{CPUMilli: 16_000, MemoryMB: 64_000}}, 9, nil, now)
	sc.HandleReport("n", 9, &link.AgentMessage{Complete: true, Heartbeat: 1}, now)
	for i := range 1000 {
		j := *newcomer()
		j.ID = fmt.Sprintf("backlog%d", i)
		sc.Submit(j, now.Add(time.Hour))
	}
	d.owner.stateMu.Unlock()
	time.Sleep(triesMemory + time.Second)
	return d
}

func newcomer() *spar.Job {
	return &spar.Job{ID: "5c0e7a21d94b36f8", Queue: "plans", Policy: deskQueue, Steps: []spar.Step{{Count: 1, Size: spar.Size{CPUMilli: 1000}, Estimate: time.Second}}}
}

// A burst has filled the owner's queue. A job is refused only if the entry has heard of
// it lately, the owner agrees, and no entry may have stored an earlier try.
func TestJobIsRefusedOnlyIfNoTryMayBeStored(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*crowded)
		want   admit.Reason
	}{
		"new":                    {func(*crowded) {}, admit.Hopeless},
		"admission is off":       {func(d *crowded) { d.client.candidate.settings.Admission.Mode = admissionOff }, admit.InTime},
		"a try at another entry": {func(d *crowded) { d.other.tries.begin(newcomer().ID, time.Now()) }, admit.Repeat},
		"a try in doubt at another entry": {func(d *crowded) {
			d.other.tries.begin(newcomer().ID, time.Now())
			d.other.tries.end(newcomer().ID, InDoubt, time.Now())
		}, admit.Repeat},
		"a try that was refused elsewhere": {func(d *crowded) {
			d.other.tries.begin(newcomer().ID, time.Now())
			d.other.tries.end(newcomer().ID, NotTried, time.Now())
		}, admit.Hopeless},
		"another entry does not answer":  {func(d *crowded) { d.peers.routes.Delete("e2") }, admit.Repeat},
		"another entry has just started": {func(d *crowded) { d.other.begunAt = time.Now() }, admit.Repeat},
		"known to the owner":             {func(d *crowded) { d.owner.scheduler.Submit(*newcomer(), time.Now()) }, admit.Repeat},
		"the owner is away":              {func(d *crowded) { d.peers.routes.Delete("e0") }, admit.Repeat},
		"the owner has just taken over":  {func(d *crowded) { d.owner.readyAt.Store(time.Now().UnixNano()) }, admit.NotKnown},
		"heard nothing for a while":      {func(*crowded) { time.Sleep(3 * time.Second) }, admit.NotKnown},
		"refused often": {func(d *crowded) {
			d.owner.refusals.byID = map[string]refusal{newcomer().ID: {count: 3, at: time.Now()}}
		}, admit.RefusedOften},
		"submissions can't be read": {func(d *crowded) { d.owner.jobs = newTestTerm(nil).jobs }, admit.Repeat},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				d := newCrowded(ctx, t)
				if _, err := d.client.Waiting(ctx, "plans"); err != nil {
					t.Fatal(err)
				}
				c.change(d)
				if v := d.client.Admit(ctx, newcomer(), 3*time.Second); v.Reason != c.want || v.IsRefused() && (v.Return < time.Second || v.Return > 3*time.Second) {
					t.Errorf("%+v, want %s", v, c.want)
				}
				cancel()
				d.owner.stop()
				synctest.Wait()
				time.Sleep(time.Minute)
			})
		})
	}
}

// An entry that hears nothing accepts everything, also while others refuse.
func TestEntryThatHearsNothingAccepts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		d := newCrowded(ctx, t)
		if v := d.client.Admit(ctx, newcomer(), 0); v.Reason != admit.NotKnown {
			t.Errorf("%+v", v)
		}
		cancel()
		d.owner.stop()
		time.Sleep(time.Minute)
	})
}

// A burst that lasts refuses a job a few times at most, and an owner that remembers too
// many refusals refuses no more.
func TestRefusalsOfAJobAreCounted(t *testing.T) {
	var r refusals
	now := time.Unix(1000, 0)
	for i := range maxTries {
		if !r.add(fmt.Sprint(i), now) {
			t.Fatalf("refusal %d is not counted", i)
		}
	}
	if r.add("one more", now) || !r.add("0", now) || r.of("0") != 2 {
		t.Error("a refusal that is not counted was allowed, or a second one was not")
	}
	if !r.add("one more", now.Add(refusalMemory+time.Second)) {
		t.Error("old refusals are not forgotten")
	}
}

// refusingWrites refuses all appends.
type refusingWrites struct{ *store.Client }

func (refusingWrites) Append(context.Context, string, *spar.Producer, []spar.Record) (int64, error) {
	return 0, errors.Mark(errors.New("busy"), spar.ErrRefused)
}

// The store has been away for four seconds. Callers come back after as long again, but
// within their own time and not all at once; with admission off, after a second.
func TestCallersReturnWhenTheStoreIsLikelyBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCandidate(&store.Store{}, "e0", &routedPeers{})
		c.store = intake.NewStore(c.Common, refusingWrites{store.NewClient(&store.Store{}, 1)})
		c.jobs = intake.NewWriter(c.store, JobsTopic)
		client := NewClient(c.Common, c, nil)
		for begun := time.Now(); time.Since(begun) < 4*time.Second; time.Sleep(100 * time.Millisecond) {
			if err := c.jobs.Write(t.Context(), spar.Record{Key: JobPrefix + "a"}); !errors.Is(err, spar.ErrRefused) {
				t.Fatal(err)
			}
		}
		if back := client.ReturnIn("a", deskQueue, 0); back != time.Second {
			t.Errorf("admission off: %s", back)
		}
		c.settings.Admission.Mode = admissionOn
		returns := map[time.Duration]bool{}
		for i := range 20 {
			back := client.ReturnIn(fmt.Sprint(i), deskQueue, 0)
			returns[back] = true
			if back < 3500*time.Millisecond || back > 8*time.Second {
				t.Errorf("job %d: %s", i, back)
			}
			if back := client.ReturnIn(fmt.Sprint(i), deskQueue, 1500*time.Millisecond); back > 1500*time.Millisecond {
				t.Errorf("job %d of an impatient caller: %s", i, back)
			}
		}
		if len(returns) < 15 {
			t.Errorf("20 callers return at %d times", len(returns))
		}
		// The probes of the writer end.
		time.Sleep(time.Minute)
	})
}
