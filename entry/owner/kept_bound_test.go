package owner

import (
	"testing"
	"time"

	"github.com/berylspar/spar/link"
)

// An entry keeps how long the leases on a worker run, and tells it to a new owner later. It
// must count the time since, or that owner waits too long, and forget it when the agent
// does not tell it any more, or that one may wait too short.
func TestKeptBoundOfLeasesShrinksWithTime(t *testing.T) {
	var k keptDepartures
	left := 5 * time.Second
	for _, tt := range []struct {
		at   time.Duration
		told *link.Departure
		want time.Duration
	}{
		{time.Second, &link.Departure{Life: departedLife, LeaseLeft: &left}, left},
		{3 * time.Second, nil, 3 * time.Second},
		{9 * time.Second, nil, 0},
		{10 * time.Second, &link.Departure{Life: departedLife, LeaseLeft: &left}, left},
		{11 * time.Second, &link.Departure{Life: departedLife}, -1},
	} {
		if tt.told != nil {
			k.add(*tt.told, tt.at)
		}
		got := k.list(tt.at)[0].LeaseLeft
		if got == nil != (tt.want < 0) || got != nil && *got != tt.want {
			t.Errorf("after %s: leases end in %v, want %s", tt.at, got, tt.want)
		}
	}
	if left != 5*time.Second {
		t.Error("the message of the agent was changed")
	}
}
