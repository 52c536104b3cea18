package exec

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/common"
	"github.com/berylspar/spar/link"
	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"
)

// fakeWorker lists one ended run until it is acknowledged, and records the
// acknowledgements that it receives.
type fakeWorker struct {
	spar.Worker
	mu    sync.Mutex
	acked []int64
}

var workerLife = spar.Life{ID: "i-1", Born: 5}

func (r *fakeWorker) Hold(_ context.Context, _ spar.Target, acked, _ int64, _ time.Duration) (spar.RunLists, error) {
	time.Sleep(5 * time.Millisecond)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.acked = append(r.acked, acked)
	l := spar.RunLists{Clock: 1, Born: workerLife.Born}
	for _, a := range r.acked {
		if a >= 7 {
			return l, nil
		}
	}
	l.Ended = []spar.Ended{{Number: 7, Task: spar.TaskRef{Job: "j"}, Run: 1, Ending: spar.EndDone}}
	return l, nil
}

// If an acknowledgement is sent repeatedly, a worker that was restarted under
// the same name receives it too and drops ends that were never reported (found
// by a soak test, seed 316).
func TestAcknowledgementIsSentOnce(t *testing.T) {
	c := common.Common{Logger: log.NewNopLogger(), Scope: tally.NoopScope}
	b := NewHeartbeats(c, HeartbeatFormat{})
	heartbeat := Heartbeat{Info: spar.WorkerInfo{Life: workerLife}, Seq: 1}
	b.Accept(heartbeat)
	r := &fakeWorker{}
	e := NewExecutor(c, "n", b, r, nil, nil, func() time.Duration { return 0 })
	agentConn, ownerConn := net.Pipe()
	owner := link.NewConn[link.AgentMessage, link.OwnerMessage](ownerConn)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	s := newSession(e, newLifeRecord(workerLife), link.NewConn[link.OwnerMessage, link.AgentMessage](agentConn), link.Welcome{Epoch: 1, Token: 1, Lease: time.Second}, heartbeat)
	ended := make(chan error, 1)
	go func() { ended <- s.run(ctx) }()
	for ctx.Err() == nil {
		m, err := owner.Receive(time.Second)
		if err != nil {
			break
		}
		if len(m.Ended) > 0 {
			go func() { _ = owner.Send(&link.OwnerMessage{Acked: 7}) }()
		}
		if m.Heartbeat >= 3 {
			cancel()
		}
	}
	<-ended
	r.mu.Lock()
	defer r.mu.Unlock()
	sent := 0
	for _, a := range r.acked {
		if a == 7 {
			sent++
		}
	}
	if sent != 1 {
		t.Fatalf("acknowledgement sent %d times, want 1: %v", sent, r.acked)
	}
}
