package triage_test

import (
	"testing"
	"time"

	"github.com/berylspar/spar/triage"
)

func within(t *testing.T, what string, got, want time.Duration) {
	t.Helper()
	if got < want*9/10 || got > want*11/10 {
		t.Errorf("%s: %s predicted, want about %s", what, got, want)
	}
}

func TestRunTimes(t *testing.T) {
	var none, exact, doubled, useless triage.RunTimes
	for i := range 400 {
		estimate := time.Duration(1+i%20) * 100 * time.Millisecond
		exact.Add(estimate, estimate, 1)
		doubled.Add(estimate, 2*estimate, 1)
		useless.Add(estimate, 900*time.Millisecond, 1)
	}
	within(t, "nothing has ended", none.Predict(time.Second), time.Second)
	within(t, "exact estimates", exact.Predict(3*time.Second), 3*time.Second)
	within(t, "estimates of half the time", doubled.Predict(time.Second), 2*time.Second)
	within(t, "estimates that tell nothing", useless.Predict(1500*time.Millisecond), 900*time.Millisecond)
	within(t, "no estimate", useless.Predict(0), 900*time.Millisecond)
	if got := none.Predict(0); got != 0 {
		t.Errorf("%s predicted from nothing", got)
	}
}
