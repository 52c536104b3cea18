// Package crowd_test sets crowds of misbehaving clients on the listeners of real
// processes. It checks that the process lives, that its memory and descriptors stay
// under the limits in its settings, and that it still answers an ordinary request.
package crowd_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/berylspar/spar/prove/stage"
)

const (
	// standTime is how long a crowd may take to get into position.
	standTime = 5 * time.Second
	// holdTime is how long a crowd stands in position before the ordinary request.
	holdTime = 300 * time.Millisecond
	// askTimeout bounds all tries of an ordinary request together.
	askTimeout = 30 * time.Second
	// triesBesideCrowd is the number of tries of the ordinary request before the
	// crowd leaves.
	triesBesideCrowd = 4
	sampleInterval   = 10 * time.Millisecond
)

// lowered are the limits in the settings of a process that a crowd is set on. Those of
// memory and descriptors are the bounds of the checks.
var lowered = map[string]any{
	"memory_mb": 96, "descriptors": 256, "flight_mb": 8, "connections": 48,
	"header_ms": 500, "body_ms": 500, "answer_ms": 500, "idle_ms": 2000,
}

// No client may end a process, have it outgrow its machine, or keep it from
// answering others.
func TestCrowd(t *testing.T) {
	for _, l := range listeners {
		t.Run(l.name, func(t *testing.T) {
			for _, w := range l.ways() {
				t.Run(w.name, func(t *testing.T) { play(t, l, w) })
			}
		})
	}
}

// The same holds for the programs of the first design, with the ways that take most.
func TestCrowdOfFirstDesign(t *testing.T) {
	for _, l := range firstListeners {
		t.Run(l.name, func(t *testing.T) {
			for _, w := range l.ways() {
				if slices.Contains(firstWays, w.name) {
					t.Run(w.name, func(t *testing.T) { play(t, l, w) })
				}
			}
			if l.isRPC {
				for _, w := range l.target.rpcWays() {
					t.Run(w.name, func(t *testing.T) { play(t, l, w) })
				}
			}
		})
	}
}

// A small instance allows larger requests than the lowered limits do, so that fewer of
// them take its memory.
func TestCrowdOnSmallInstance(t *testing.T) {
	limits := map[string]any{"memory_mb": instanceMemoryMB, "descriptors": instanceDescriptors, "body_ms": 500}
	for _, l := range listeners {
		if !slices.Contains(smallListeners, l.name) {
			continue
		}
		t.Run(l.name, func(t *testing.T) {
			for _, w := range l.ways() {
				if slices.Contains(largeWays, w.name) {
					t.Run(w.name, func(t *testing.T) { playWith(t, l, w, limits) })
				}
			}
		})
	}
}

var (
	smallListeners = []string{"Listen", "Agents", "Control"}
	largeWays      = []string{"ChunkedOverLimit", "HeldBodies", "HugeJSON", "NullJSON", "DeepJSON", "HeldFrames", "EndlessBytes", "HugeMessage"}
)

// play sets a crowd on a listener of a new process.
func play(t *testing.T, l listener, w way) {
	playWith(t, l, w, lowered)
}

// playWith sets a crowd on a listener of a new process with limits.
func playWith(t *testing.T, l listener, w way, limits map[string]any) {
	memory, descriptors := limits["memory_mb"].(int), limits["descriptors"].(int)
	p := l.start(t, l.program, limits)
	at := p.addresses[l.field]
	ask := l.ask(at)
	if !askUntil(t.Context(), ask) {
		t.Fatalf("no answer before the crowd came; log: %s", p.logTail())
	}
	ctx, leave := context.WithCancel(t.Context())
	defer leave()
	peak := watch(ctx, p.proc)
	done := w.enter(ctx, at)
	time.Sleep(holdTime)
	beside := askTimes(ctx, ask, triesBesideCrowd)
	leave()
	<-done
	answered := beside || !p.proc.Exited() && askUntil(t.Context(), ask)
	use := <-peak
	use.resident = max(use.resident, p.proc.PeakRSS())
	t.Logf("%d MB resident, %d descriptors, answered beside the crowd: %t", use.resident>>20, use.descriptors, beside)
	switch {
	case p.proc.Exited():
		t.Errorf("process has ended with exit code %d; log: %s", p.proc.ExitCode(), p.logTail())
	case !answered:
		t.Errorf("no answer to an ordinary request; log: %s", p.logTail())
	}
	if use.resident > int64(memory)<<20 {
		t.Errorf("%d MB resident, at most %d", use.resident>>20, memory)
	}
	if use.descriptors > descriptors {
		t.Errorf("%d descriptors open, at most %d", use.descriptors, descriptors)
	}
}

// usage is the most that a process has used.
type usage struct {
	// resident is in bytes.
	resident    int64
	descriptors int
}

// watch samples what a process uses until the context ends and reports the most.
func watch(ctx context.Context, p *stage.Proc) <-chan usage {
	peak := make(chan usage, 1)
	go func() {
		var most usage
		for ctx.Err() == nil {
			most = usage{resident: max(most.resident, p.PeakRSS()), descriptors: max(most.descriptors, p.Descriptors())}
			time.Sleep(sampleInterval)
		}
		peak <- most
	}()
	return peak
}

// crowd is a number of members that all behave alike.
type crowd struct {
	size int
	// script is what a member does with a connection. It calls inPlace when it has
	// sent all that it sends at once.
	script func(ctx context.Context, c *connection, inPlace func()) error
	// deaf members do not read answers; those of some scripts read them themselves.
	deaf, readsItself bool
}

// enter sends in all members and returns when they are in position, or after
// standTime. The channel is closed when all members have left, after the context
// has ended.
func (cr crowd) enter(ctx context.Context, address string) <-chan struct{} {
	var members, standing sync.WaitGroup
	standing.Add(cr.size)
	for i := range cr.size {
		members.Go(func() {
			m := member{crowd: cr, number: i, address: address}
			inPlace := sync.OnceFunc(standing.Done)
			defer inPlace()
			m.run(ctx, inPlace)
		})
	}
	placed, left := make(chan struct{}), make(chan struct{})
	go func() { standing.Wait(); close(placed) }()
	go func() { members.Wait(); close(left) }()
	select {
	case <-placed:
	case <-time.After(standTime):
	}
	return left
}
