package owner

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/link"
	"github.com/berylspar/spar/stand/store"
	"github.com/valyala/fasthttp"
)

// newGrantingTerm returns a term of an epoch with a session of node n1, and its
// candidate's clock.
func newGrantingTerm(t *testing.T, epoch int64) (*term, *session, *time.Duration) {
	now := new(time.Duration)
	tm := newTestTerm(store.NewClient(&store.Store{}, 1))
	tm.clock = func() time.Duration { return *now }
	tm.term, tm.epoch = tm, epoch
	tm.ctx, tm.cancel = context.WithCancel(t.Context())
	t.Cleanup(tm.cancel)
	s := &session{node: "n1", token: epoch<<tokenBits | 1}
	tm.scheduler.Connect(s.node, spar.WorkerInfo{Life: spar.Life{ID: "i-n1", Born: 1}}, s.token, nil, time.Now())
	return tm, s, now
}

// An earlier owner that is cut off from the store grants leases in its grace period. Once
// it has answered a newer owner, which counts on the answer, it must grant no more.
func TestAskedOwnerGrantsNoLeaseAfterItsAnswer(t *testing.T) {
	tm, s, now := newGrantingTerm(t, 256)
	tm.grants.begin(256)
	*now = 10 * time.Second
	if tm.applyMessage(s, &link.AgentMessage{Heartbeat: 1}) == nil {
		t.Fatal("no lease before the question")
	}
	*now = 12 * time.Second
	if a := tm.settleGrants(256, 512); a.age() != 2*time.Second || a.Restarted {
		t.Errorf("age %s, restarted %v; want 2s, false", a.age(), a.Restarted)
	}
	if !tm.hasFailed() || tm.ctx.Err() == nil {
		t.Error("the term goes on")
	}
	tm.failed.Store(false)
	tm.ctx = t.Context()
	if tm.applyMessage(s, &link.AgentMessage{Heartbeat: 2}) != nil {
		t.Error("a lease was granted after the answer")
	}
}

// A question arrives while agents are served. No lease may be granted after the time that
// the answer names.
func TestNoLeaseIsGrantedBetweenTheAnswerAndItsTime(t *testing.T) {
	for range 200 {
		var g grants
		begun := time.Now()
		clock := func() time.Duration { return time.Since(begun) }
		var granted [4]time.Duration
		var all sync.WaitGroup
		for i := range granted {
			all.Go(func() {
				for before := clock(); before < time.Second && g.record(256, clock); before = clock() {
					granted[i] = before
				}
			})
		}
		age, _ := g.settle(256, 512, clock)
		last := clock() - age
		all.Wait()
		for _, at := range granted {
			if at > last {
				t.Fatalf("granted at %s, the answer names %s", at, last)
			}
		}
	}
}

// The store elects an entry whose term begins only after a newer owner has asked it. That
// term must grant nothing, and a later one may.
func TestTermThatBeginsAfterTheQuestionOfANewerOwnerGrantsNothing(t *testing.T) {
	tm, s, _ := newGrantingTerm(t, 300)
	tm.term = nil
	tm.settleGrants(256, 512)
	if tm.applyMessage(s, &link.AgentMessage{Heartbeat: 1}) != nil {
		t.Error("a lease was granted under an epoch below the asker's")
	}
	tm.epoch = 513
	if tm.applyMessage(s, &link.AgentMessage{Heartbeat: 2}) == nil {
		t.Error("no lease was granted under an epoch above the asker's")
	}
}

// The process that owned the shard was killed, and another one listens at its address. The
// leases were granted before that one started.
func TestRestartedProcessAnswersWithItsAge(t *testing.T) {
	now := 100 * time.Second
	clock := func() time.Duration { return now }
	g := grants{last: clock()}
	now += 3 * time.Second
	if age, restarted := g.settle(256, 512, clock); age != 3*time.Second || !restarted {
		t.Errorf("age %s, restarted %v; want 3s, true", age, restarted)
	}
	g.begin(768)
	if _, restarted := g.settle(256, 1024, clock); !restarted {
		t.Error("a term of this process is taken for the one asked about")
	}
	if _, restarted := g.settle(768, 1024, clock); restarted {
		t.Error("a term of this process is taken for that of an earlier one")
	}
}

// A question that names no epochs, or not those of an earlier and a newer owner, must end
// no term.
func TestQuestionWithBadEpochsIsRefusedWithTheField(t *testing.T) {
	for query, want := range map[string]string{
		"":                                    "epoch: ",
		"epoch=x&asker=512":                   "epoch: ",
		"epoch=0&asker=512":                   "epoch: ",
		"epoch=256":                           "asker: ",
		"epoch=256&asker=1e9":                 "asker: ",
		"epoch=256&asker=256":                 "asker: ",
		"epoch=256&asker=255":                 "asker: ",
		"epoch=256&asker=9999999999999999999": "asker: ",
	} {
		tm, _, _ := newGrantingTerm(t, 256)
		var rc fasthttp.RequestCtx
		rc.Request.SetRequestURI(grantsPath + "?" + query)
		tm.answerGrants(&rc)
		if code, body := rc.Response.StatusCode(), string(rc.Response.Body()); code != fasthttp.StatusBadRequest || !strings.HasPrefix(body, want) {
			t.Errorf("%q: status %d: %s; want 400 and the field %q", query, code, body, want)
		}
		if tm.hasFailed() || tm.grants.fence != 0 {
			t.Errorf("%q: the term has failed (%v) or is fenced at %d", query, tm.hasFailed(), tm.grants.fence)
		}
	}
}
