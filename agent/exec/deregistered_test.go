package exec

import (
	"testing"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/common"
	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"
)

// The call that deregisters a worker is delayed, and arrives when the worker is back under
// its name. If the new life counted as deregistered for good, the first call to it without
// an answer would tell all entries that its runs are over while it works on them.
func TestLateDeregistrationOfAnEarlierLifeIsTakenBack(t *testing.T) {
	b := NewHeartbeats(common.Common{Logger: log.NewNopLogger(), Scope: tally.NoopScope}, HeartbeatFormat{})
	first, second := spar.Life{ID: "i", Born: 1}, spar.Life{ID: "i", Born: 2}
	b.Accept(Heartbeat{Info: spar.WorkerInfo{Life: first, Draining: true}, Seq: 9})
	b.Accept(Heartbeat{Info: spar.WorkerInfo{Life: second}, Seq: 1})
	b.Deregister("i")
	b.Accept(Heartbeat{Info: spar.WorkerInfo{Life: second}, Seq: 2})
	if b.HasLeft(second) {
		t.Error("the worker has deregistered, although it reports that it is ready")
	}
	b.Accept(Heartbeat{Info: spar.WorkerInfo{Life: second, Draining: true}, Seq: 3})
	b.Deregister("i")
	b.Accept(Heartbeat{Info: spar.WorkerInfo{Life: second, Draining: true}, Seq: 4})
	if !b.HasLeft(second) {
		t.Error("a draining worker has not deregistered")
	}
}
