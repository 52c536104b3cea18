// Package soak_test runs the real programs as processes on one machine, against
// stand-ins of the store and of the workers in the test process. It injects
// faults by signals and by proxies that refuse, drop, delay and truncate.
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
	faultTime = flag.Duration("trouble", 12*time.Second, "time during which faults are injected")
)

// endTimeout is how long accepted jobs may take to end after the last fault.
const endTimeout = 60 * time.Second

// Processes crash, pause and lose connections at random. No invariant of the
// workers may be violated, and every accepted job must end.
func TestSoak(t *testing.T) {
	for seed := *first; seed < *first+*seeds; seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 17))
			d := newDeployment(t, 3, 5, random, folders{entry: builtFolder, agent: builtFolder, admission: seed%2 == 0})
			t.Logf("logs in %s", d.dir)
			d.crashingShare = 0.03
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

// injectFaults injects random faults, which may overlap.
func injectFaults(d *deployment, random *rand.Rand) {
	for end := time.Now().Add(*faultTime); time.Now().Before(end); {
		time.Sleep(time.Duration(200+random.IntN(800)) * time.Millisecond)
		f := faults[random.IntN(len(faults))]
		d.log("fault %s", f.name)
		f.inject(d, random, time.Duration(300+random.IntN(3500))*time.Millisecond)
		d.expectNoViolations()
	}
}
