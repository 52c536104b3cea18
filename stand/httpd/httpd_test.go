package httpd_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/common"
	"github.com/berylspar/spar/platform"
	"github.com/berylspar/spar/stand/httpd"
	"github.com/berylspar/spar/stand/store"
	"github.com/berylspar/spar/stand/worker"
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

const maxBody = 4 << 20

// serve serves a handler on the loopback interface until the test ends.
func serve(t *testing.T, h fasthttp.RequestHandler) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	end := common.ServeFastHTTP(ctx, l, h, maxBody)
	t.Cleanup(func() {
		cancel()
		<-end
	})
	return l.Addr().String()
}

func newStore(t *testing.T) (*platform.Store, *store.Store) {
	s := &store.Store{}
	return platform.NewStore(platform.NewClient(), serve(t, httpd.StoreHandler(s))), s
}

func records(n int) []spar.Record {
	var out []spar.Record
	for i := range n {
		out = append(out, spar.Record{Key: fmt.Sprintf("k%04d", i), Value: []byte{byte(i)}})
	}
	return out
}

func TestNewestReadsAllPages(t *testing.T) {
	p, s := newStore(t)
	const many = 1203
	if _, err := p.Append(t.Context(), "jobs", nil, records(many)); err != nil {
		t.Fatal(err)
	}
	if _, err := p.Append(t.Context(), "jobs", nil, []spar.Record{{Key: "k0007", Value: []byte("new")}, {Key: "k0008"}}); err != nil {
		t.Fatal(err)
	}
	b, err := p.Newest(t.Context(), "jobs")
	if err != nil || len(b.Records) != many-1 || b.Next != many+2 {
		t.Fatalf("%d records, next %d, %v", len(b.Records), b.Next, err)
	}
	if string(b.Records[7].Value) != "new" {
		t.Fatalf("record 7 is %q", b.Records[7].Value)
	}
	s.Compact("jobs")
	if _, err := p.Follow(t.Context(), "jobs", 3, 0); !errors.Is(err, spar.ErrGone) {
		t.Fatalf("read of dropped records: %v", err)
	}
}

func TestFollowWaitsForTheNextRecord(t *testing.T) {
	p, s := newStore(t)
	time.AfterFunc(50*time.Millisecond, func() { s.Append("jobs", nil, records(2)) })
	b, err := p.Follow(t.Context(), "jobs", 0, 2*time.Second)
	if err != nil || len(b.Records) != 2 || b.Next != 2 || b.Records[1].Key != "k0001" {
		t.Fatalf("%+v, %v", b, err)
	}
}

func TestOlderEpochIsFencedAndRepeatsAreAppendedOnce(t *testing.T) {
	p, _ := newStore(t)
	ctx := t.Context()
	write := func(epoch, seq int64, n int) (int64, error) {
		return p.Append(ctx, "state", &spar.Producer{Name: "owner", Epoch: epoch, Seq: seq}, records(n))
	}
	if _, err := write(7, 0, 0); err != nil {
		t.Fatal(err)
	}
	first, err := write(7, 1, 3)
	if err != nil {
		t.Fatal(err)
	}
	if again, err := write(7, 1, 3); err != nil || again != first {
		t.Fatalf("repeat: offset %d after %d, %v", again, first, err)
	}
	if _, err := write(7, 5, 1); !errors.Is(err, spar.ErrSequence) {
		t.Fatalf("gap: %v", err)
	}
	if _, err := write(9, 0, 0); err != nil {
		t.Fatal(err)
	}
	if _, err := write(7, 2, 1); !errors.Is(err, spar.ErrFenced) {
		t.Fatalf("older epoch: %v", err)
	}
}

func TestLeavePassesPartitionsToTheNextMember(t *testing.T) {
	p, _ := newStore(t)
	ctx := t.Context()
	m := spar.Member{Group: "owners", Name: "a", Topic: "owner", TTL: time.Second}
	a, err := p.Join(ctx, m)
	if err != nil || len(a.Partitions) != 12 {
		t.Fatalf("%+v, %v", a, err)
	}
	if err := p.Leave(ctx, "owners", "a"); err != nil {
		t.Fatal(err)
	}
	m.Name = "b"
	b, err := p.Join(ctx, m)
	if err != nil || len(b.Partitions) != 12 || b.Generation <= a.Generation {
		t.Fatalf("%+v after %+v, %v", b, a, err)
	}
}

// A refused connection or a 503 means that the append was not done; a missing
// answer or a 500 means that it may have been done.
func TestErrorsDistinguishRefusedFromUnknown(t *testing.T) {
	away := platform.NewStore(platform.NewClient(), "127.0.0.1:1")
	if _, err := away.Append(t.Context(), "jobs", nil, records(1)); !errors.Is(err, spar.ErrRefused) {
		t.Errorf("nobody listens: %v", err)
	}
	silent := platform.NewStore(platform.NewClient(), serve(t, func(*fasthttp.RequestCtx) { time.Sleep(300 * time.Millisecond) }))
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	if _, err := silent.Append(ctx, "jobs", nil, records(1)); !errors.Is(err, spar.ErrUnknown) {
		t.Errorf("no answer in time: %v", err)
	}
	busy := platform.NewStore(platform.NewClient(), serve(t, func(c *fasthttp.RequestCtx) { c.SetStatusCode(503) }))
	if _, err := busy.Append(t.Context(), "jobs", nil, records(1)); !errors.Is(err, spar.ErrRefused) {
		t.Errorf("busy: %v", err)
	}
	lost := platform.NewStore(platform.NewClient(), serve(t, func(c *fasthttp.RequestCtx) { c.SetStatusCode(500) }))
	if _, err := lost.Append(t.Context(), "jobs", nil, records(1)); !errors.Is(err, spar.ErrUnknown) {
		t.Errorf("server error: %v", err)
	}
}

func TestWorkerCalls(t *testing.T) {
	work := func(spar.TaskRef, int64) (time.Duration, spar.Ending) { return time.Hour, spar.EndDone }
	size := func(spar.TaskRef) spar.Size { return spar.Size{CPUMilli: 3000} }
	w := worker.NewWorker("n1", spar.Size{CPUMilli: 4000}, size, work, worker.NewInvariantChecker())
	life, _ := w.Life()
	p := platform.NewWorker(platform.NewClient())
	target := spar.Target{Address: serve(t, httpd.WorkerHandler(w)), Life: life, Token: 5}
	ctx := t.Context()
	until := int64(4000)
	a := spar.StartOrder{Task: spar.TaskRef{Job: "5c0e7a21d94b36f8", Step: 1, Index: 17}, Run: 2, Until: until}
	for range 2 {
		if r, err := p.Start(ctx, target, a); err != nil || r != spar.StartDone {
			t.Fatalf("start: %v, %v", r, err)
		}
	}
	b := a
	b.Task.Index = 3
	if r, err := p.Start(ctx, target, b); err != nil || r != spar.StartNoRoom {
		t.Fatalf("start without room: %v, %v", r, err)
	}
	l, err := p.Hold(ctx, target, 0, until, 0)
	if err != nil || len(l.Running) != 1 || l.Running[0].Task != a.Task || l.Running[0].Run != 2 || l.Born != life.Born {
		t.Fatalf("list: %+v, %v", l, err)
	}
	if err := p.Stop(ctx, target, a.Task, 2); err != nil {
		t.Fatal(err)
	}
	time.Sleep(300 * time.Millisecond)
	if l, err = p.Hold(ctx, target, 0, until, 0); err != nil || len(l.Ended) != 1 || l.Ended[0].Ending != spar.EndStopped {
		t.Fatalf("list: %+v, %v", l, err)
	}
	if r, err := p.Start(ctx, target, a); err != nil || r != spar.StartOld {
		t.Fatalf("start of a run that was stopped: %v, %v", r, err)
	}
	if l, err = p.Hold(ctx, target, l.Ended[0].Number, until, 0); err != nil || len(l.Ended) != 0 {
		t.Fatalf("list after the acknowledgement: %+v, %v", l, err)
	}
	old := target
	old.Token = 4
	if r, err := p.Start(ctx, old, a); err != nil || r != spar.StartFenced {
		t.Fatalf("start under an older token: %v, %v", r, err)
	}
	other := target
	other.Life.ID = "i-other"
	if _, err := p.Start(ctx, other, a); !errors.Is(err, spar.ErrOtherLife) {
		t.Fatalf("start meant for another: %v", err)
	}
}

func TestFollowEndsWithItsContext(t *testing.T) {
	p, _ := newStore(t)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	begun := time.Now()
	if _, err := p.Follow(ctx, "jobs", 0, 3*time.Second); err == nil {
		t.Fatal("no error")
	}
	if took := time.Since(begun); took > time.Second {
		t.Fatalf("took %s", took)
	}
}

// The store is slow, and a page of newest records takes longer than a read may
// take at first. A new owner that repeated the read with the same limit would not
// take over until the store is fast again.
func TestNewestIsReadFromASlowStore(t *testing.T) {
	s := &store.Store{}
	handler := httpd.StoreHandler(s)
	p := platform.NewStore(platform.NewClient(), serve(t, func(c *fasthttp.RequestCtx) {
		if string(c.Path()) == "/log-newest" {
			time.Sleep(1700 * time.Millisecond)
		}
		handler(c)
	}))
	if _, err := p.Append(t.Context(), "jobs", nil, records(3)); err != nil {
		t.Fatal(err)
	}
	for range 3 {
		if b, err := p.Newest(t.Context(), "jobs"); err == nil && len(b.Records) == 3 {
			return
		}
	}
	t.Error("three reads in a row timed out")
}
