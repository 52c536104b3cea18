package spar_test

import (
	"strings"
	"testing"
	"time"

	"github.com/berylspar/spar"
)

// One stored job that no owner can hold, or that breaks its arithmetic, would take
// down each owner that reads it. It must be rejected with the field named.
func TestJobCheckRejectsWhatNoOwnerCanPlan(t *testing.T) {
	ok := spar.Step{Count: 2}
	for want, j := range map[string]spar.Job{
		"steps: none":              {},
		"steps[0]: count: 0":       {Steps: []spar.Step{{}}},
		"steps[0]: count: 9000000": {Steps: []spar.Step{{Count: 9_000_000}}},
		"more than 50000 tasks":    {Times: 40_000, Steps: []spar.Step{ok}},
		"times: -1":                {Times: -1, Steps: []spar.Step{ok}},
		"interval: -1s":            {Times: 2, Interval: -time.Second, Steps: []spar.Step{ok}},
		"steps[0]: after: 0":       {Steps: []spar.Step{{Count: 1, After: []int{0}}}},
		"steps[0]: size":           {Steps: []spar.Step{{Count: 1, Size: spar.Size{MemoryMB: -1}}}},
		"steps[0]: estimate":       {Steps: []spar.Step{{Count: 1, Estimate: -1}}},
		"steps[0]: tasks per":      {Steps: []spar.Step{{Count: 1, MaxPerWorker: -1}}},
	} {
		if err := j.Check(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error %v, want one with %q", err, want)
		}
	}
	j := spar.Job{Times: 3, Interval: time.Second, Steps: []spar.Step{ok, {Count: 4, After: []int{0}}}}
	if err := j.Check(); err != nil {
		t.Error(err)
	}
}
