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
	Description: "the log is unavailable for 20 s and appends take effect without a response; running tasks continue, requests are served, and nothing runs twice",
	Run: func(s *Scene) {
		jobs := s.submitJobs("fleet-plan", 4, 4, 12*time.Second)
		s.awaitRunningWorker()
		s.pause(2 * time.Second)
		s.requireNoError(s.LogFaults(s.ctx, logs.Faults{Down: true, ApplyWhileDown: true, Hang: true}))
		loadReport := s.startLoad(drive.Settings{Repeatable: true}, 18*time.Second)
		keyedReport := s.startLoad(drive.Settings{Keyed: true, PerSecond: 5}, 5*time.Second)
		s.pause(20 * time.Second)
		s.requireNoError(s.LogFaults(s.ctx, logs.Faults{}))
		if load := <-loadReport; load.Done != load.Sent {
			s.Errorf("requests during the log outage: want all done, got %+v", load)
		}
		if load := <-keyedReport; load.NotRun != load.Sent {
			s.Errorf("keyed requests during the log outage: want all answered as not run, got %+v", load)
		}
		s.awaitDone(0, jobs, 60*time.Second)
		record, err := s.Report(s.ctx)
		s.requireNoError(err)
		if n := stage.CountEnded(record, "stopped") + stage.CountEnded(record, "lapsed"); n > 0 {
			s.Errorf("runs stopped or lapsed during the log outage, while all processes could reach one another: got %d, want 0", n)
		}
		if len(record.KeyExecutions) > 0 {
			s.Errorf("keyed requests that ran although answered as not run: got %d, want 0", len(record.KeyExecutions))
		}
	},
}

var lostAnswers = Scenario{
	Name:        "LostAnswers",
	Description: "a fifth of the appends takes effect without a response and the log is slow; each job is accepted once and done once",
	Run: func(s *Scene) {
		s.requireNoError(s.LogFaults(s.ctx, logs.Faults{LostShare: 0.2, SlowMS: 40}))
		jobs := s.submitJobs("fleet-plan", 6, 4, 2*time.Second)
		// Submitting a job again under the same name must not create a second
		// one.
		for i, job := range jobs {
			s.requireNoError(s.Submit(s.ctx, (i+1)%3, job, "fleet-plan", 4, 2*time.Second))
		}
		s.awaitDone(1, jobs, 60*time.Second)
	},
}

var operatorsRace = Scenario{
	Name:        "OperatorsRace",
	Description: "several operators publish from the same revision at once over a slow log; one is accepted, the others are rejected with the revision that was accepted",
	Run: func(s *Scene) {
		s.requireNoError(s.LogFaults(s.ctx, logs.Faults{SlowMS: 30}))
		path := filepath.Join(s.TempDir(), "configuration.json")
		shown, err := s.RunBeryl(s.ctx, "show")
		s.requireNoError(err)
		s.requireNoError(os.WriteFile(path, []byte(shown[strings.Index(shown, "{"):strings.LastIndex(shown, "}")+1]), 0o600))
		const publishers = 4
		outputs := make([]string, publishers)
		var pending sync.WaitGroup
		for i := range publishers {
			pending.Go(func() { outputs[i], _ = s.RunBeryl(s.ctx, "publish", "-base", "1", path) })
		}
		pending.Wait()
		accepted, rejected := 0, 0
		for _, output := range outputs {
			if strings.Contains(output, "in force everywhere") {
				accepted++
			}
			if strings.Contains(output, "revision 2 by") {
				rejected++
			}
		}
		if accepted != 1 || rejected != publishers-1 {
			s.Errorf("concurrent publishes: got %d accepted and %d rejected for revision 2, want 1 accepted and all others rejected; outputs %q", accepted, rejected, outputs)
		}
	},
}

var retentionPasses = Scenario{
	Name:        "RetentionPasses",
	Description: "the log's retention drops the records of the configuration and of the submitted jobs, then every entry is killed and started again; the configuration does not revert and no job is lost",
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
		for _, entry := range s.Entries() {
			s.Proc(entry.Name).Kill()
		}
		for _, entry := range s.Entries() {
			s.requireNoError(s.Start("entry", entry.Name))
		}
		for _, entry := range s.Entries() {
			s.requireNoError(s.AwaitReady(s.ctx, entry.Admin))
		}
		shown, err := s.RunBeryl(s.ctx, "show")
		s.requireNoError(err)
		if !strings.Contains(shown, "revision 2 by") || !strings.Contains(shown, `"closed": true`) {
			s.Errorf("configuration after the restart: want revision 2 with a closed domain, got %s", shown)
		}
		for _, job := range jobs {
			if _, err := s.Job(s.ctx, 0, job); err != nil {
				s.Errorf("status of job %s after the restart: %v", job, err)
			}
		}
		s.awaitDone(0, jobs, 90*time.Second)
	},
}
