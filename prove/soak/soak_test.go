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
	first     = flag.Uint64("first", 1, "first seed")
	seeds     = flag.Uint64("seeds", 1, "number of seeds")
	faultTime = flag.Duration("trouble", 12*time.Second, "time for which faults strike")
)

// calm is how long accepted jobs may take to end once the faults are over.
const endTimeout = 60 * time.Second

func TestSoak(t *testing.T) {
	for seed := *first; seed < *first+*seeds; seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 17))
			d := newDeployment(t, 3, 5, random, folders{entry: builtFolder, agent: builtFolder})
			t.Logf("logs in %s", d.dir)
			d.awaitReady()
			callers := d.startCallers()
			injectFaults(d, random)
			d.clearFaults()
			callers.stop()
			callers.expectAllEnded(endTimeout)
			d.expectNoViolations()
		})
	}
}

// strike injects one fault after the other; they overlap.
func injectFaults(d *deployment, random *rand.Rand) {
	for end := time.Now().Add(*faultTime); time.Now().Before(end); {
		time.Sleep(time.Duration(200+random.IntN(800)) * time.Millisecond)
		f := faults[random.IntN(len(faults))]
		d.log("fault %s", f.name)
		f.inject(d, random, time.Duration(300+random.IntN(3500))*time.Millisecond)
		d.expectNoViolations()
	}
}
