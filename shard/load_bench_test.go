package shard_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/link"
	"github.com/berylspar/spar/triage"
)

// busyShard connects workers that each run serving tasks and fills of several
// images, and submits fills that find no room.
func busyShard(b testing.TB, workers int, order triage.Policy) (*harness, map[string][]spar.StartOrder) {
	h := newHarness(b)
	h.setOrder(order)
	for i := range workers {
		h.connect(fmt.Sprintf("n%03d", i))
	}
	for j := range workers / 4 {
		s := servingStep(fmt.Sprintf("desk%d", j%10))
		s.Count = 16
		h.submit(fmt.Sprintf("s%03d", j), "watches", s)
	}
	onNode := map[string][]spar.StartOrder{}
	collect := func(m map[string]*link.OwnerMessage) {
		for node, d := range m {
			onNode[node] = append(onNode[node], d.Starts...)
		}
	}
	collect(h.runCycle())
	for j := range workers {
		h.submit(fmt.Sprintf("f%03d", j), "plans", fillStep(fmt.Sprintf("fill%d", j%18), 4))
	}
	collect(h.runCycle())
	for node := range onNode {
		h.reportNode(node, onNode[node])
	}
	return h, onNode
}

// reportNode reports a tail latency near the target for the serving tasks of a
// node, and running fills.
func (h *harness) reportNode(node string, orders []spar.StartOrder) {
	m := &link.AgentMessage{}
	for _, o := range orders {
		row := spar.Running{Task: o.Task, Run: o.Run, Percent: h.fillPercent(), Measurement: 800}
		if o.Task.Job[0] == 's' {
			row.Percent, row.Measurement = 100, 12
		}
		m.Running = append(m.Running, row)
	}
	h.report(node, m)
	h.scheduler.GrantLease(node, h.tokens[node], h.now)
}

// BenchmarkBusySecond measures one second of a shard whose agents report twice
// and whose owner plans after each report, while fills wait.
func BenchmarkBusySecond(b *testing.B) {
	for _, order := range []triage.Policy{triage.LeastWork, triage.Value} {
		for _, workers := range []int{30, 100, 300} {
			b.Run(fmt.Sprintf("order=%s/workers=%d", order, workers), func(b *testing.B) {
				h, onNode := busyShard(b, workers, order)
				b.ResetTimer()
				for range b.N {
					h.busySecond(workers, onNode)
				}
			})
		}
	}
}

func (h *harness) busySecond(workers int, onNode map[string][]spar.StartOrder) {
	for range 2 {
		for node, orders := range onNode {
			h.advance(500 * time.Millisecond / time.Duration(workers))
			h.reportNode(node, orders)
		}
		for range 25 {
			h.scheduler.Tick(h.now, h.now)
			h.scheduler.Plan(h.now)
		}
	}
	h.runCycle()
}
