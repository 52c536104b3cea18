package scene

import (
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/berylspar/spar/load/drive"
	"github.com/berylspar/spar/prove/stage"
	"github.com/berylspar/spar/stand/logs"
)

var logOutage = Scenario{
	Name:        "LogOutage",
	Description: "the log is unavailable for 20 s and appends take effect without an answer; running tasks lose nothing, callers are served, and nothing runs twice",
	Run: func(s *Scene) {
		jobs := s.submitJobs("fleet-plan", 4, 4, 12*time.Second)
		s.awaitRunningWorker()
		s.pause(2 * time.Second)
		s.requireNoError(s.LogFaults(s.ctx, logs.Faults{Down: true, ApplyWhileDown: true, Hang: true}))
		served := s.startLoad(drive.Settings{Repeatable: true}, 18*time.Second)
		keyed := s.startLoad(drive.Settings{Keyed: true, PerSecond: 5}, 5*time.Second)
		s.pause(20 * time.Second)
		s.requireNoError(s.LogFaults(s.ctx, logs.Faults{}))
		if r := <-served; r.Done != r.Sent {
			s.Errorf("callers during the outage: %+v", r)
		}
		if r := <-keyed; r.NotRun != r.Sent {
			s.Errorf("requests that may run at most once, during the outage: %+v", r)
		}
		s.awaitDone(0, jobs, 60*time.Second)
		r, err := s.Report(s.ctx)
		s.requireNoError(err)
		if n := stage.CountEnded(r, "stopped") + stage.CountEnded(r, "lapsed"); n > 0 {
			s.Errorf("%d tasks were stopped though all members reached one another", n)
		}
		if len(r.KeyExecutions) > 0 {
			s.Errorf("%d requests ran that were answered as not run", len(r.KeyExecutions))
		}
	},
}

var lostAnswers = Scenario{
	Name:        "LostAnswers",
	Description: "a fifth of the appends takes effect with no answer and the log is slow; each job is accepted once and done once",
	Run: func(s *Scene) {
		s.requireNoError(s.LogFaults(s.ctx, logs.Faults{LostShare: 0.2, SlowMS: 40}))
		jobs := s.submitJobs("fleet-plan", 6, 4, 2*time.Second)
		// Submitting a job again under the same name must not create a second one.
		for i, j := range jobs {
			s.requireNoError(s.Submit(s.ctx, (i+1)%3, j, "fleet-plan", 4, 2*time.Second))
		}
		s.awaitDone(1, jobs, 60*time.Second)
	},
}

var operatorsRace = Scenario{
	Name:        "OperatorsRace",
	Description: "operators publish from the same revision at once, over a slow log; one wins, the others are told which revision beat them",
	Run: func(s *Scene) {
		s.requireNoError(s.LogFaults(s.ctx, logs.Faults{SlowMS: 30}))
		path := filepath.Join(s.TempDir(), "configuration.json")
		out, err := s.RunBeryl(s.ctx, "show")
		s.requireNoError(err)
		s.requireNoError(os.WriteFile(path, []byte(out[strings.Index(out, "{"):strings.LastIndex(out, "}")+1]), 0o600))
		const racers = 4
		said := make([]string, racers)
		var all sync.WaitGroup
		for i := range racers {
			all.Go(func() { said[i], _ = s.RunBeryl(s.ctx, "publish", "-base", "1", path) })
		}
		all.Wait()
		won, told := 0, 0
		for _, w := range said {
			if strings.Contains(w, "in force everywhere") {
				won++
			}
			if strings.Contains(w, "revision 2 by") {
				told++
			}
		}
		if won != 1 || told != racers-1 {
			s.Errorf("%d won and %d were told: %q", won, told, said)
		}
	},
}

var retentionPasses = Scenario{
	Name:        "RetentionPasses",
	Description: "retention passes over the configuration and the jobs' first records, then every entry is killed and replaced; nothing reverts and nothing is lost",
	Setup: func(p *stage.Plan) {
		p.RetainMS = 9000
		p.EntryOverrides = map[string]any{"watch": map[string]any{"retain_ms": 9000}}
	},
	Run: func(s *Scene) {
		jobs := s.submitJobs("fleet-plan", 2, 2, 40*time.Second)
		_, err := s.RunBeryl(s.ctx, "domain", "close", "sliven")
		s.requireNoError(err)
		s.closures = append(s.closures, stage.Closure{Domain: "sliven", From: s.platformTime()})
		s.pause(20 * time.Second)
		for _, e := range s.Entries() {
			s.Proc(e.Name).Kill()
		}
		for _, e := range s.Entries() {
			s.requireNoError(s.Start("entry", e.Name))
		}
		for _, e := range s.Entries() {
			s.requireNoError(s.AwaitReady(s.ctx, e.Admin))
		}
		out, err := s.RunBeryl(s.ctx, "show")
		s.requireNoError(err)
		if !strings.Contains(out, "revision 2 by") || !strings.Contains(out, `"closed": true`) {
			s.Errorf("the configuration reverted: %s", out)
		}
		for _, j := range jobs {
			if _, err := s.Job(s.ctx, 0, j); err != nil {
				s.Errorf("job %s is lost: %v", j, err)
			}
		}
		s.awaitDone(0, jobs, 90*time.Second)
	},
}
