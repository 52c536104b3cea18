package shard_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/link"
	"github.com/berylspar/spar/shard"
	"github.com/vmihailenco/msgpack/v5"
)

// mutate returns a copy of a record with a few bytes changed, cut or repeated.
func mutate(random *rand.Rand, value []byte) []byte {
	out := slices.Clone(value)
	for range 1 + random.IntN(3) {
		if len(out) == 0 {
			return out
		}
		i := random.IntN(len(out))
		switch random.IntN(3) {
		case 0:
			out[i] = byte(random.Uint32())
		case 1:
			out = out[:i]
		default:
			out = slices.Insert(out, i, out[i:min(i+8, len(out))]...)
		}
	}
	return out
}

// A record or a message that cannot be handled must not end the owner that reads it:
// the next owner would read it too.
func TestDamagedRecordsDoNotEndOwners(t *testing.T) {
	for seed := range uint64(3000) {
		random := rand.New(rand.NewPCG(seed, 9))
		h := newHarness(t)
		h.connect("n1")
		h.connect("n2")
		second := shortStep(2)
		second.After = []int{0}
		h.submit("j1", "checks", shortStep(2), second)
		h.submit("j2", "watches", spar.Step{Count: 2, Standing: true, Size: spar.Size{CPUMilli: 500}, Image: "a", TailTarget: time.Millisecond})
		node, o := "n1", h.expectStarts(h.runCycle(), 4)[0]
		h.crash(node, lostAt(o, crashAge))
		h.runCycle()
		for id, v := range h.state {
			if random.IntN(2) == 0 {
				h.state[id] = mutate(random, v)
			}
		}
		h.scheduler = shard.NewScheduler(limits, func(shard.Event) {})
		h.setRules()
		for _, v := range h.jobs {
			if random.IntN(4) == 0 {
				v = mutate(random, v)
			}
			if j, err := shard.DecodeJob(v); err == nil {
				h.scheduler.Submit(j, h.now)
			}
		}
		h.scheduler.Restore(h.stateRecords(), h.now, h.now.Add(time.Second)) // the owner logs the errors and goes on
		h.runCycle()
		hello, err := msgpack.Marshal(&link.AgentMessage{Complete: true, Running: []spar.Running{{Task: o.Task, Run: o.Run, Percent: 7}}, Ended: []spar.Ended{{Number: 1, Task: o.Task, Run: o.Run, Ending: spar.EndFailed}}, LifeEnds: []link.LifeEnd{h.ends["n1"]}})
		if err != nil {
			t.Fatal(err)
		}
		var m link.AgentMessage
		if msgpack.Unmarshal(mutate(random, hello), &m) == nil {
			h.scheduler.RecordLifeEnds("n1", m.LifeEnds, h.now)
			h.connect("n1")
			h.report("n1", &m)
		}
		h.advance(2 * time.Second)
		h.runCycle()
	}
}
