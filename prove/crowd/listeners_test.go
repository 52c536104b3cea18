package crowd_test

import (
	"net/http"
	"testing"
)

// listener is an address that a process listens on.
type listener struct {
	name string
	// start starts the process, and field is its setting with the address.
	start          func(t *testing.T, program string, limits map[string]any) *process
	program, field string
	// ask returns the ordinary request to the listener at an address.
	ask func(address string) ask
	// target is what the crowds send to; it is not set for the protocol of agents.
	target *target
	// isRPC tells that the listener decompresses bodies and speaks HTTP/2.
	isRPC bool
}

// target is where a crowd sends HTTP requests.
type target struct {
	method, host string
	// path is completed with an ID if it ends with the prefix of jobs.
	path string
	// read is the path of a GET with a long answer.
	read string
	// maxBody is the largest body of a request in bytes.
	maxBody int
	// json returns a body up to a size whose decoded form is large.
	json func(size int) string
}

var listeners = []listener{
	{
		name: "Listen", start: startBatch, program: "entry", field: "listen",
		ask:    func(a string) ask { return askHTTP(http.MethodPost, "http://"+a+prefix, host, job) },
		target: &target{method: http.MethodPost, host: host, path: prefix, read: prefix, maxBody: 1 << 20, json: manySteps},
	},
	{
		name: "Ready", start: startBatch, program: "entry", field: "ready",
		ask:    func(a string) ask { return askHTTP(http.MethodGet, "http://"+a+"/ready", "", nil) },
		target: &target{method: http.MethodPost, host: "ready", path: "/ready", read: "/ready", maxBody: 1 << 20, json: manySteps},
	},
	{name: "Agents", start: startBatch, program: "entry", field: "agents", ask: askLink},
	{
		name: "EntryAdmin", start: startBatch, program: "entry", field: "admin",
		ask:    func(a string) ask { return askHTTP(http.MethodGet, "http://"+a+"/healthz", "", nil) },
		target: &target{method: http.MethodPost, host: "admin", path: "/records", read: "/metrics", maxBody: 16 << 10, json: manySteps},
	},
	{
		name: "Control", start: startBatch, program: "agent", field: "control",
		ask:    func(a string) ask { return askHTTP(http.MethodPut, "http://"+a+"/instances/w", "", heartbeat) },
		target: &target{method: http.MethodPut, host: "control", path: "/instances/x", read: "/instances/x", maxBody: 4 << 20, json: manyLabels},
	},
	{
		name: "AgentAdmin", start: startBatch, program: "agent", field: "admin",
		ask:    func(a string) ask { return askHTTP(http.MethodGet, "http://"+a+"/healthz", "", nil) },
		target: &target{method: http.MethodPost, host: "admin", path: "/records", read: "/metrics", maxBody: 16 << 10, json: manySteps},
	},
}

// ways returns the crowds that are set on the listener.
func (l listener) ways() []way {
	if l.target == nil {
		return linkWays
	}
	return l.target.ways()
}
