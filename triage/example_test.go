package triage_test

import (
	"fmt"
	"time"

	"github.com/berylspar/spar/triage"
)

// Four processors cannot complete both new jobs within two seconds.
func ExampleOrder() {
	jobs := []triage.Job{
		{ID: "large", Due: 2 * time.Second, Last: 6 * time.Second, Path: time.Second, Work: 8 * time.Second, Worth: 9},
		{ID: "small", Due: 2 * time.Second, Last: 6 * time.Second, Path: time.Second, Work: 2 * time.Second, Worth: 3},
		{ID: "too long", Due: 2 * time.Second, Last: 6 * time.Second, Path: 3 * time.Second, Work: 3 * time.Second, Worth: 4},
	}
	for _, r := range triage.Order(jobs, triage.Room{triage.Pool{}: 4}) {
		fmt.Println(jobs[r.Index].ID, "is", r.Prospect)
	}
	// Output:
	// small is in time
	// large is set back
	// too long is late
}
