package soak_test

import (
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/prove/fault"
)

// faults are the faults that are injected, each with its duration.
var faults = []struct {
	name   string
	inject func(d *deployment, random *rand.Rand, duration time.Duration)
}{
	{"kill", func(d *deployment, r *rand.Rand, duration time.Duration) {
		p := d.anyProcess(r)
		p.kill()
		d.runAfter(duration, p.start)
	}},
	{"pause", func(d *deployment, r *rand.Rand, duration time.Duration) {
		p := d.anyProcess(r)
		p.signal(syscall.SIGSTOP)
		d.runAfter(duration, func() { p.signal(syscall.SIGCONT) })
	}},
	{"stop by plan", func(d *deployment, r *rand.Rand, _ time.Duration) {
		p := d.anyProcess(r)
		d.runInBackground(func() {
			p.stop()
			p.start()
		})
	}},
	{"reload", func(d *deployment, r *rand.Rand, _ time.Duration) { d.anyProcess(r).signal(syscall.SIGHUP) }},
	{"refuse", proxied(fault.Rules{Refuse: true})},
	{"silence", proxied(fault.Rules{DropRequests: true, DropResponses: true})},
	{"one way out", proxied(fault.Rules{DropRequests: true})},
	{"one way back", proxied(fault.Rules{DropResponses: true})},
	{"delay", proxied(fault.Rules{Delay: 150 * time.Millisecond})},
	{"short", proxied(fault.Rules{TruncateEvery: 7})},
	{"rebalance", func(d *deployment, _ *rand.Rand, _ time.Duration) { d.store.Rebalance("owners", time.Now()) }},
	{"drop history", func(d *deployment, _ *rand.Rand, _ time.Duration) {
		for _, t := range []string{"jobs", "state", "owner", "op"} {
			d.store.Compact(t)
		}
	}},
	{"worker crash", func(d *deployment, r *rand.Rand, duration time.Duration) {
		w := d.workers[r.IntN(len(d.workers))]
		if r.IntN(2) == 0 {
			w.CrashProcess()
		} else {
			w.Crash()
		}
		d.runAfter(duration, func() {
			if l, up := w.Life(); !up {
				w.Restart(spar.Life{ID: l.ID, Born: time.Now().UnixMilli()})
			}
		})
	}},
	{"worker shrinks", func(d *deployment, r *rand.Rand, duration time.Duration) {
		w := d.workers[r.IntN(len(d.workers))]
		w.Resize(spar.Size{CPUMilli: workerSize.CPUMilli * int64(r.IntN(4)) / 4, MemoryMB: workerSize.MemoryMB})
		d.runAfter(duration, func() { w.Resize(workerSize) })
	}},
}

// proxied returns a fault that applies rules to a random proxy for the duration.
func proxied(rules fault.Rules) func(*deployment, *rand.Rand, time.Duration) {
	return func(d *deployment, r *rand.Rand, duration time.Duration) {
		p := d.proxies[r.IntN(len(d.proxies))]
		p.SetRules(rules)
		d.runAfter(duration, func() { p.SetRules(fault.Rules{}) })
	}
}
