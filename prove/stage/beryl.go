package stage

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const configureTimeout = 15 * time.Second

// RunBeryl runs the operators' command-line tool against the deployment and
// returns its combined output.
func (s *Stage) RunBeryl(ctx context.Context, args ...string) (string, error) {
	var adminAddresses []string
	for _, e := range s.entries {
		adminAddresses = append(adminAddresses, e.Admin)
	}
	allArgs := append([]string{"-platform", "http://" + s.platform, "-entries", strings.Join(adminAddresses, ",")}, args...)
	out, err := exec.CommandContext(ctx, filepath.Join(s.plan.Bin, "beryl"), allArgs...).CombinedOutput()
	return string(out), errors.Wrapf(err, "beryl %s: %s", strings.Join(args, " "), out)
}

// Configure publishes the configuration that a sample program prints, and waits
// until all agents have applied it.
func (s *Stage) Configure(ctx context.Context, sample string) error {
	out, err := exec.CommandContext(ctx, filepath.Join(s.plan.Bin, sample)).Output()
	if err != nil {
		return errors.Wrapf(err, "%s", sample)
	}
	return s.Publish(ctx, out)
}

// Publish publishes a configuration and waits until all agents have applied it.
func (s *Stage) Publish(ctx context.Context, configuration []byte) error {
	path := filepath.Join(s.dir, "configuration.json")
	if err := os.WriteFile(path, configuration, 0o600); err != nil {
		return err
	}
	if _, err := s.RunBeryl(ctx, "publish", path); err != nil {
		return err
	}
	return s.AwaitAllReady(ctx)
}

// AwaitAllReady waits until each entry knows all agents and none of them is
// behind the current configuration.
func (s *Stage) AwaitAllReady(ctx context.Context) error {
	for _, e := range s.entries {
		err := WaitUntil(ctx, configureTimeout, "agents known to "+e.Name, func() bool {
			var status struct {
				Agents int      `json:"agents"`
				Behind []string `json:"behind"`
			}
			_, err := Call(ctx, "http://"+e.Admin+"/v1/force", nil, &status)
			return err == nil && status.Agents >= len(s.agents) && len(status.Behind) == 0
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// ListenAddresses returns the addresses of the entries that callers send to.
func (s *Stage) ListenAddresses() []string {
	var addresses []string
	for _, e := range s.entries {
		addresses = append(addresses, e.Listen)
	}
	return addresses
}

// BackendAddresses returns the addresses of the backend servers.
func (s *Stage) BackendAddresses() []string {
	var addresses []string
	for _, a := range s.agents {
		addresses = append(addresses, a.Backend)
	}
	return addresses
}

// Submit submits a job through an entry.
func (s *Stage) Submit(ctx context.Context, entry int, job, kind string, tasks int, run time.Duration) error {
	body := map[string]any{"job": job, "kind": kind, "tasks": tasks, "run_ms": run.Milliseconds()}
	_, err := Call(ctx, "http://"+s.entries[entry].Listen+"/v1/jobs", body, &struct{}{})
	return err
}

// Job is the status of a job as an entry reports it.
type Job struct {
	Ended bool `json:"ended"`
	Done  int  `json:"done"`
	Tasks []struct {
		Index   int    `json:"index"`
		Phase   string `json:"phase"`
		Attempt uint32 `json:"attempt"`
		Worker  string `json:"worker"`
		Reason  string `json:"reason"`
	} `json:"tasks"`
}

// Job requests the status of a job from an entry.
func (s *Stage) Job(ctx context.Context, entry int, job string) (Job, error) {
	var j Job
	_, err := Call(ctx, "http://"+s.entries[entry].Admin+"/v1/jobs/"+job, nil, &j)
	return j, err
}
