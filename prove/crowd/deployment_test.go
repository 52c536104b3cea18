package crowd_test

import (
	"context"
	"encoding/json"
	"flag"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/common"
	"github.com/berylspar/spar/prove/stage"
	"github.com/berylspar/spar/stand/httpd"
	"github.com/berylspar/spar/stand/store"
)

const (
	host         = "desk.example"
	prefix       = "/jobs/"
	storeBody    = 4 << 20
	readyTimeout = 20 * time.Second
	// tailBytes is how much of the end of a process's log a failure shows.
	tailBytes = 600
)

// built is the folder with the programs of this build.
var built = flag.String("bin", filepath.Join("..", "..", "bin"), "folder with the programs")

// deployment is a process under attack, with a stand-in for the store in the test
// process.
type deployment struct {
	t     *testing.T
	dir   string
	store string
	// folder holds the programs.
	folder string
}

// process is the process under attack.
type process struct {
	proc *stage.Proc
	log  string
	// addresses are the listen addresses by the names of their settings.
	addresses map[string]string
}

func newDeployment(t *testing.T) *deployment {
	ctx, cancel := context.WithCancel(context.Background())
	s := &store.Store{}
	value, err := json.Marshal(map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "queue", "host": host, "pathPrefix": prefix, "service": "desk",
			"targetDurationMs": 1000, "maxAttempts": 3, "stretch": 2, "priority": 0,
		}},
		"services": []any{map[string]any{"name": "desk", "admissionCheck": true}},
	})
	if err == nil {
		_, err = s.Append("op", nil, []spar.Record{{Key: "config", Value: value}})
	}
	l, listenErr := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil || listenErr != nil {
		t.Fatal(err, listenErr)
	}
	// Its end is not awaited, since calls of the killed process may wait for records.
	common.ServeFastHTTP(ctx, l, httpd.StoreHandler(s), storeBody)
	t.Cleanup(cancel)
	return &deployment{t: t, dir: t.TempDir(), store: l.Addr().String(), folder: *built}
}

// startBatch starts a program for batch work with the limits.
func startBatch(t *testing.T, program string, limits map[string]any) *process {
	return newDeployment(t).start(program, limits)
}

// start starts a program with the limits and waits until it is ready.
func (d *deployment) start(program string, limits map[string]any) *process {
	fields := map[string][]string{"entry": {"listen", "ready", "agents", "admin"}, "agent": {"control", "admin"}}[program]
	free, err := stage.FreePorts(len(fields))
	if err != nil {
		d.t.Fatal(err)
	}
	settings := map[string]any{"name": program, "domain": "d", "store": d.store}
	if limits != nil {
		settings["limits"] = limits
	}
	p := &process{log: filepath.Join(d.dir, program+".log"), addresses: map[string]string{}}
	for i, f := range fields {
		settings[f], p.addresses[f] = free[i], free[i]
	}
	path := filepath.Join(d.dir, program+".json")
	body, err := json.Marshal(settings)
	if err == nil {
		err = os.WriteFile(path, body, 0o600)
	}
	if err == nil {
		p.proc, err = stage.StartProc(filepath.Join(d.folder, program), p.log, "batch", "-settings", path)
	}
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(p.proc.Kill)
	url := "http://" + p.addresses["admin"] + "/healthz"
	if program == "entry" {
		url = "http://" + p.addresses["ready"] + "/ready"
	}
	err = stage.WaitUntil(d.t.Context(), readyTimeout, "ready: "+program, func() bool {
		code, err := stage.Call(d.t.Context(), url, nil, nil)
		return err == nil && code == http.StatusOK
	})
	if err != nil {
		d.t.Fatal(err)
	}
	return p
}

// logTail returns the end of the process's log.
func (p *process) logTail() string {
	data, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-tailBytes):])
}
