package intake

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// A store that answers only a part of the calls, or answers late and out of
// order, does answer: the door must not swing.
func TestDoorDoesNotSwing(t *testing.T) {
	for name, answer := range map[string]func(r *rand.Rand) (bool, time.Duration){
		"half of the answers lost": func(r *rand.Rand) (bool, time.Duration) { return r.IntN(2) == 0, 0 },
		"late and out of order":    func(r *rand.Rand) (bool, time.Duration) { return true, time.Duration(r.IntN(1300)) * time.Millisecond },
		"late, and a third is lost": func(r *rand.Rand) (bool, time.Duration) {
			return r.IntN(3) > 0, time.Duration(r.IntN(600)) * time.Millisecond
		},
		"nothing for the whole time":  func(*rand.Rand) (bool, time.Duration) { return false, 0 },
		"all answers within the time": func(*rand.Rand) (bool, time.Duration) { return true, 5 * time.Millisecond },
	} {
		t.Run(name, func(t *testing.T) {
			var changes atomic.Int64
			for seed := range uint64(10) {
				synctest.Test(t, func(*testing.T) {
					defer settle()
					r := rand.New(rand.NewPCG(seed, 3))
					f := newFakeStore(2 * time.Millisecond)
					f.answer = func() (bool, time.Duration) { return answer(r) }
					s := NewStore(quiet(), f)
					w := NewWriter(s, "jobs")
					count := func(bool, time.Duration) { changes.Add(1) }
					s.door.onChange, w.door.onChange = count, count
					ctx, cancel := context.WithCancel(context.Background())
					go joinUntil(ctx, s)
					callers([]*Writer{w}, 100, 100*time.Millisecond, 3*time.Second)
					cancel()
				})
			}
			// Ten runs of ten seconds: each of the two doors changes once at
			// most, on average.
			if n := changes.Load(); n > 20 {
				t.Errorf("the door changed %d times in 10 runs of 10 s", n)
			}
		})
	}
}
