// Package soak_test runs the real programs as processes on one machine, against
// stand-ins of the store and of the workers in the test, and injects faults from
// outside: proxies that cut, silence and delay, and signals.
package soak_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var (
	first   = flag.Uint64("first", 1, "first seed")
	seeds   = flag.Uint64("seeds", 1, "number of seeds")
	trouble = flag.Duration("trouble", 12*time.Second, "time for which faults strike")
)

// calm is how long accepted jobs may take to end once the faults are over.
const calm = 60 * time.Second

func TestSoak(t *testing.T) {
	for seed := *first; seed < *first+*seeds; seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 17))
			d := newDeployment(t, 3, 5, random, folders{entry: built, agent: built})
			t.Logf("logs in %s", d.dir)
			d.awaitReady()
			callers := d.startCallers()
			strike(d, random)
			d.heal()
			callers.stop()
			callers.expectAllEnded(calm)
			d.expectSound()
		})
	}
}

// strike injects one fault after the other; they overlap.
func strike(d *deployment, random *rand.Rand) {
	for end := time.Now().Add(*trouble); time.Now().Before(end); {
		time.Sleep(time.Duration(200+random.IntN(800)) * time.Millisecond)
		fault := faults[random.IntN(len(faults))]
		d.log("fault %s", fault.name)
		fault.strike(d, random, time.Duration(300+random.IntN(3500))*time.Millisecond)
		d.expectSound()
	}
}
