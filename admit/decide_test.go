package admit

import (
	"fmt"
	"testing"
	"time"
)

const second = time.Second

// backlog is the load of one service that does a processor-second a second.
func backlog(waiting ...Waiting) Load {
	return Load{Services: map[string]Service{"desk": {Reserved: Backlog{DrainMilli: 1000, Waiting: waiting}}}}
}

func short(priority int) Request {
	return Request{ID: "5c0e7a21d94b36f8", Service: "desk", Priority: priority, Objective: second, Reserves: true, History: NeverAccepted}
}

// Each load is what one pattern leaves behind. The limit is 2 x 3 s for an objective of
// one second.
func TestDecideUnderLoad(t *testing.T) {
	filling := func(work time.Duration) Load {
		return Load{Services: map[string]Service{"desk": {Filling: Backlog{DrainMilli: 1000, Waiting: []Waiting{{Work: work}}}}}}
	}
	fills := short(2)
	fills.Reserves, fills.Fills = false, true
	standing, repeat, often := short(2), short(2), short(2)
	standing.Standing, repeat.History, often.Refusals = true, MayBeAccepted, 3
	old, lost := backlog(Waiting{Work: 60 * second}), backlog(Waiting{Work: 60 * second})
	old.Age = 3 * second
	lost.Services["desk"] = Service{Reserved: Backlog{Waiting: []Waiting{{Work: 60 * second}}}}
	slower := backlog(Waiting{Work: 5 * second})
	slower.Services["desk"] = Service{Reserved: Backlog{DrainMilli: 700, Waiting: []Waiting{{Work: 5 * second}}}}
	for name, c := range map[string]struct {
		load    Load
		request Request
		want    Reason
	}{
		"no load":                              {Load{}, short(2), NotKnown},
		"room and no backlog":                  {backlog(), short(2), InTime},
		"burst of one kind, that kind":         {backlog(Waiting{Priority: 2, Work: 60 * second}), short(2), Hopeless},
		"burst of one kind, a more urgent one": {backlog(Waiting{Priority: 2, Work: 60 * second}), short(0), InTime},
		"burst of all, the most urgent":        {backlog(Waiting{Work: 60 * second}, Waiting{Priority: 2, Work: 60 * second}), short(0), Hopeless},
		"wave that passes within the margin":   {backlog(Waiting{Work: 6 * second}), short(2), InTime},
		"wide jobs, beside reserved work":      {filling(60 * second), short(2), InTime},
		"wide jobs, behind them":               {filling(60 * second), fills, Hopeless},
		"retries that return together":         {backlog(Waiting{Work: 60 * second}), often, RefusedOften},
		"burst that is late already":           {backlog(Waiting{Priority: 2, Late: 60 * second}), short(2), InTime},
		"late work that is more urgent":        {backlog(Waiting{Priority: 0, Late: 60 * second}), short(2), Hopeless},
		"burst of larger jobs":                 {backlog(Waiting{Priority: 2, Work: 60 * second, Sizes: [sizes]time.Duration{8: 60 * second}}), short(2), InTime},
		"burst of smaller jobs":                {backlog(Waiting{Priority: 2, Work: 60 * second, Sizes: [sizes]time.Duration{0: 60 * second}}), short(2), Hopeless},
		"repeat amid a burst":                  {backlog(Waiting{Work: 60 * second}), repeat, Repeat},
		"standing job amid a burst":            {backlog(Waiting{Work: 60 * second}), standing, Lasting},
		"room lost to a zone":                  {slower, short(2), Hopeless},
		"room lost altogether":                 {lost, short(2), NotKnown},
		"load that is too old":                 {old, short(2), NotKnown},
		"cancels that take a backlog away":     {backlog(Waiting{Work: second}), short(2), InTime},
	} {
		t.Run(name, func(t *testing.T) {
			if got := DefaultRules().Decide(c.load, c.request); got.Reason != c.want {
				t.Errorf("%+v, want %s", got, c.want)
			}
		})
	}
}

func ExampleRules_Decide() {
	load := Load{Age: 100 * time.Millisecond, Services: map[string]Service{
		"desk": {Reserved: Backlog{DrainMilli: 4000, Waiting: []Waiting{{Priority: 1, Work: 4 * time.Minute, Tasks: 100}}}},
	}}
	request := Request{ID: "5c0e7a21d94b36f8", Service: "desk", Priority: 1, Objective: 5 * time.Second, Reserves: true, History: NeverAccepted}
	v := DefaultRules().Decide(load, request)
	fmt.Println(v.Reason, v.Wait, v.IsRefused(), v.Return > 0)
	request.Priority = 0
	fmt.Println(DefaultRules().Decide(load, request).Reason)
	// Output:
	// hopeless 1m0s true true
	// in-time
}
