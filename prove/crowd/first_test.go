package crowd_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/berylspar/spar/hops"
	"github.com/berylspar/spar/prove/stage"
)

// firstWays are the ways that are played on the listeners of the first design.
var firstWays = []string{"AnnouncedOverLimit", "ChunkedOverLimit", "HeldBodies", "Silent"}

// firstListeners are the addresses of the first design that others than operators use.
var firstListeners = []listener{
	{
		name: "EntryRequests", start: startFirst, program: "entry-1", field: "listen",
		ask:    func(a string) ask { return askHTTP(http.MethodGet, "http://"+a+"/v1/jobs", "", nil) },
		target: &target{method: http.MethodPost, host: "entry", path: "/v1/jobs", read: "/v1/jobs", maxBody: 1 << 20},
	},
	{
		name: "EntryControl", start: startFirst, program: "entry-1", field: "control",
		ask:    func(a string) ask { return askHTTP(http.MethodPost, "http://"+a+"/wire.Entry/Sync", "", emptyMessage) },
		target: &target{method: http.MethodPost, host: "entry", path: "/wire.Entry/Report", read: "/wire.Entry/Sync", maxBody: 1 << 20}, isRPC: true,
	},
	{
		name: "AgentRequests", start: startFirst, program: "worker-1", field: "listen",
		ask:    func(a string) ask { return askOutcome("http://" + a + "/") },
		target: &target{method: http.MethodPost, host: "agent", path: "/", read: "/", maxBody: 1 << 20},
	},
	{
		name: "AgentControl", start: startFirst, program: "worker-1", field: "control",
		ask:    func(a string) ask { return askHTTP(http.MethodPost, "http://"+a+"/wire.Agent/Story", "", emptyMessage) },
		target: &target{method: http.MethodPost, host: "agent", path: "/wire.Agent/Run", read: "/wire.Agent/Story", maxBody: 1 << 20}, isRPC: true,
	},
}

// askOutcome returns an ask of a request to a backend server. It is answered if the agent
// tells its outcome.
func askOutcome(url string) ask {
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	return func(ctx context.Context) (bool, time.Duration) {
		q, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return false, retryPause
		}
		q.Header.Set(hops.Request, "ordinary")
		q.Header.Set(hops.Budget, "1000000")
		a, err := client.Do(q)
		if err != nil {
			return false, retryPause
		}
		a.Body.Close()
		return a.Header.Get(hops.Outcome) != "", retryPause
	}
}

func emptyMessage() string { return "{}" }

// startFirst starts a stand-in, an entry and an agent of the first design with the
// limits, and returns the process of that name.
func startFirst(t *testing.T, name string, limits map[string]any) *process {
	override := map[string]any{"limits": limits}
	s, err := stage.Open(t.Context(), stage.Plan{
		Bin: *built, Domains: []string{"d"}, Entries: 1, Workers: 1, Service: "desk", Processors: 4, MemoryMB: 1000,
		ServiceUS: 1000, Slots: 4, Dir: t.TempDir(), EntryOverrides: override, AgentOverrides: override,
	})
	if err != nil {
		t.Fatal(err)
	}
	e, a := s.Entries()[0], s.Agents()[0]
	t.Cleanup(func() {
		for _, n := range []string{e.Name, a.Worker, "stand"} {
			s.Proc(n).Kill()
		}
	})
	p := &process{proc: s.Proc(name), log: s.LogPath(name), addresses: map[string]string{"listen": e.Listen, "control": e.Control}}
	if name == a.Worker {
		p.addresses = map[string]string{"listen": a.Listen, "control": a.Control}
	}
	return p
}
