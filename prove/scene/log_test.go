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
	Description: "the log is away for 20 s and appends land without an answer; running tasks lose nothing, callers are served, and nothing runs twice",
	Run: func(s *Scene) {
		jobs := s.submit("fleet-plan", 4, 4, 12*time.Second)
		s.awaitRunning()
		s.pause(2 * time.Second)
		s.must(s.LogFaults(s.ctx, logs.Faults{Down: true, LandWhileDown: true, Hang: true}))
		served := s.load(drive.Settings{Repeatable: true}, 18*time.Second)
		keyed := s.load(drive.Settings{Keyed: true, PerSecond: 5}, 5*time.Second)
		s.pause(20 * time.Second)
		s.must(s.LogFaults(s.ctx, logs.Faults{}))
		if r := <-served; r.Done != r.Sent {
			s.Errorf("callers during the outage: %+v", r)
		}
		if r := <-keyed; r.NotRun != r.Sent {
			s.Errorf("requests that may run at most once, during the outage: %+v", r)
		}
		s.awaitDone(0, jobs, 60*time.Second)
		r, err := s.Report(s.ctx)
		s.must(err)
		if n := stage.CountEnded(r, "stopped") + stage.CountEnded(r, "lapsed"); n > 0 {
			s.Errorf("%d tasks were stopped though all members reached one another", n)
		}
		if len(r.Keys) > 0 {
			s.Errorf("%d requests ran that were answered as not run", len(r.Keys))
		}
	},
}

var lostAnswers = Scenario{
	Name:        "LostAnswers",
	Description: "a fifth of the appends takes effect with no answer and the log is slow; each job is accepted once and done once",
	Run: func(s *Scene) {
		s.must(s.LogFaults(s.ctx, logs.Faults{LostShare: 0.2, SlowMS: 40}))
		jobs := s.submit("fleet-plan", 6, 4, 2*time.Second)
		// Submitted again, a job is the same one.
		for i, j := range jobs {
			s.must(s.Submit(s.ctx, (i+1)%3, j, "fleet-plan", 4, 2*time.Second))
		}
		s.awaitDone(1, jobs, 60*time.Second)
	},
}

var operatorsRace = Scenario{
	Name:        "OperatorsRace",
	Description: "operators publish from the same revision at once, over a slow log; one wins, the others are told which revision beat them",
	Run: func(s *Scene) {
		s.must(s.LogFaults(s.ctx, logs.Faults{SlowMS: 30}))
		path := filepath.Join(s.TempDir(), "configuration.json")
		out, err := s.RunBeryl(s.ctx, "show")
		s.must(err)
		s.must(os.WriteFile(path, []byte(out[strings.Index(out, "{"):strings.LastIndex(out, "}")+1]), 0o600))
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
		p.Entry = map[string]any{"watch": map[string]any{"retain_ms": 9000}}
	},
	Run: func(s *Scene) {
		jobs := s.submit("fleet-plan", 2, 2, 40*time.Second)
		_, err := s.RunBeryl(s.ctx, "domain", "close", "sliven")
		s.must(err)
		s.closures = append(s.closures, stage.Closure{Domain: "sliven", From: s.now()})
		s.pause(20 * time.Second)
		for _, e := range s.Entries() {
			s.Proc(e.Name).Kill()
		}
		for _, e := range s.Entries() {
			s.must(s.Start("entry", e.Name))
		}
		for _, e := range s.Entries() {
			s.must(s.AwaitReady(s.ctx, e.Admin))
		}
		out, err := s.RunBeryl(s.ctx, "show")
		s.must(err)
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
