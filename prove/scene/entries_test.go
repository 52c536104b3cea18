package scene

import (
	"syscall"
	"time"

	"github.com/berylspar/spar/load/drive"
)

var entryKilled = Scenario{
	Name:        "EntryKilled",
	Description: "an entry is killed under load; the others serve, jobs finish, and it restarts under a new name",
	Run: func(s *Scene) {
		jobs := s.submitJobs("fleet-plan", 4, 4, 4*time.Second)
		otherEntriesReport := s.startLoad(drive.Settings{Targets: s.ListenAddresses()[1:], Repeatable: true}, 8*time.Second)
		s.awaitRunningWorker()
		s.Proc("entry-1").Kill()
		s.pause(3 * time.Second)
		s.requireNoError(s.Start("entry", "entry-1"))
		s.requireNoError(s.AwaitReady(s.ctx, s.Entries()[0].Admin))
		s.awaitDone(0, jobs, 60*time.Second)
		if report := <-otherEntriesReport; report.Done != report.Sent {
			s.Errorf("requests to the other entries: want all done, got %+v", report)
		}
	},
}

var entryFrozen = Scenario{
	Name:        "EntryFrozen",
	Description: "an entry is frozen until the others expel it, resumes, and starts again under a new name",
	Setup:       nil,
	Run: func(s *Scene) {
		jobs := s.submitJobs("fleet-plan", 4, 4, 4*time.Second)
		s.awaitRunningWorker()
		s.requireNoError(s.Proc("entry-2").Signal(syscall.SIGSTOP))
		s.pause(13 * time.Second)
		s.requireNoError(s.Proc("entry-2").Signal(syscall.SIGCONT))
		s.awaitDone(0, jobs, 60*time.Second)
		s.requireNoError(s.AwaitReady(s.ctx, s.Entries()[1].Admin))
		s.mayRepeat = func(string) bool { return true }
	},
}

var plannedStops = Scenario{
	Name:        "PlannedStops",
	Description: "agents and entries are stopped gracefully and started again under load; no request in progress is aborted and no response is lost",
	Run: func(s *Scene) {
		jobs := s.submitJobs("fleet-plan", 3, 4, 3*time.Second)
		// Only the last entry gets this load: a load balancer would not send to
		// an entry that is being replaced.
		lastEntryReport := s.startLoad(drive.Settings{Targets: s.ListenAddresses()[2:]}, 20*time.Second)
		for _, a := range s.Agents()[:3] {
			if !s.Proc(a.Worker).Stop() {
				s.Errorf("graceful stop of agent %s: want exit code 0 before the time-out; end of its log:\n%s", a.Worker, lastBytes(s.Log(a.Worker)))
			}
			s.requireNoError(s.Start("agent", a.Worker))
			s.requireNoError(s.AwaitAllReady(s.ctx))
		}
		for _, entry := range s.Entries()[:2] {
			stoppingEntryReport := s.startLoad(drive.Settings{Targets: []string{entry.Listen}}, 200*time.Millisecond)
			s.pause(100 * time.Millisecond)
			stopped := make(chan bool, 1)
			go func() { stopped <- s.Proc(entry.Name).Stop() }()
			if report := <-stoppingEntryReport; report.Done != report.Sent {
				s.Errorf("requests to %s during its graceful stop: want all done, got %+v", entry.Name, report)
			}
			if !<-stopped {
				s.Errorf("graceful stop of %s: want exit code 0 before the time-out; end of its log:\n%s", entry.Name, lastBytes(s.Log(entry.Name)))
			}
			s.requireNoError(s.Start("entry", entry.Name))
			s.requireNoError(s.AwaitReady(s.ctx, entry.Admin))
		}
		if report := <-lastEntryReport; report.Done != report.Sent {
			s.Errorf("requests to the last entry during the restarts of the others: want all done, got %+v", report)
		}
		s.awaitDone(2, jobs, 60*time.Second)
	},
}
