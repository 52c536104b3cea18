package exec

import (
	"context"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/common"
	"github.com/berylspar/spar/link"
	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"
)

// pagedWorker lists one of its ends at a time.
type pagedWorker struct {
	spar.Worker
	ended []spar.Ended
}

func (w *pagedWorker) Hold(_ context.Context, _ spar.Target, acked, _ int64, _ time.Duration) (spar.RunLists, error) {
	time.Sleep(time.Millisecond)
	w.ended = slices.DeleteFunc(w.ended, func(e spar.Ended) bool { return e.Number <= acked })
	n := min(len(w.ended), 1)
	return spar.RunLists{Clock: 1, Born: workerLife.Born, Running: []spar.Running{{Task: spar.TaskRef{Job: "running"}, Run: 1}}, Ended: w.ended[:n], MoreEnds: n < len(w.ended)}, nil
}

// The owner starts every run again that is on neither list of a session. So the agent
// must not call the lists complete before the worker has listed its last end.
func TestListsAreCompleteWithTheLastEnds(t *testing.T) {
	c := common.Common{Logger: log.NewNopLogger(), Scope: tally.NoopScope}
	b := NewHeartbeats(c, HeartbeatFormat{})
	h := Heartbeat{Info: spar.WorkerInfo{Life: workerLife}, Seq: 1}
	b.Accept(h)
	w := &pagedWorker{}
	for n := range int64(4) {
		w.ended = append(w.ended, spar.Ended{Number: n + 1, Task: spar.TaskRef{Job: "ended", Index: int(n)}, Run: 1, Ending: spar.EndDone})
	}
	e := NewExecutor(c, "n", b, w, nil, nil, func() time.Duration { return 0 })
	agentConn, ownerConn := net.Pipe()
	owner := link.NewConn[link.AgentMessage, link.OwnerMessage](ownerConn)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	s := newSession(e, newLifeRecord(workerLife), link.NewConn[link.OwnerMessage, link.AgentMessage](agentConn), link.Welcome{Epoch: 1, Token: 1, Lease: time.Second}, h)
	done := make(chan error, 1)
	go func() { done <- s.run(ctx) }()
	ends := 0
	for {
		m, err := owner.Receive(time.Second)
		if err != nil {
			t.Fatal(err)
		}
		ends += len(m.Ended)
		if m.Complete {
			if ends != 4 || len(m.Running) != 1 {
				t.Fatalf("lists are complete after %d ends and with %d running runs, want 4 and 1", ends, len(m.Running))
			}
			break
		}
		if len(m.Ended) > 0 {
			acked := m.Ended[0].Number
			go func() { _ = owner.Send(&link.OwnerMessage{Acked: acked}) }()
		}
	}
	cancel()
	<-done
}

// A stopped run that has ended may be among the ends that the worker lists later.
// It must not be reported as never started, since its task would start again.
func TestStoppedRunIsUndecidedWhileEndsAreMissing(t *testing.T) {
	s, _ := newRoomSession(nil, spar.Size{})
	k := runOf("stopped", 1)
	s.stoppedRuns[k] = 3
	s.resolveStoppedRuns(spar.RunLists{MoreEnds: true}, 4)
	if len(s.outcomes) != 0 || len(s.stoppedRuns) != 1 {
		t.Fatalf("outcomes %+v with ends missing", s.outcomes)
	}
	s.resolveStoppedRuns(spar.RunLists{}, 5)
	if len(s.outcomes) != 1 || s.outcomes[0].Result != spar.StartNever {
		t.Fatalf("outcomes %+v with all ends listed", s.outcomes)
	}
}
