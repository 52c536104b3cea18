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
		others := s.startLoad(drive.Settings{Targets: s.ListenAddresses()[1:], Repeatable: true}, 8*time.Second)
		s.awaitRunningWorker()
		s.Proc("entry-1").Kill()
		s.pause(3 * time.Second)
		s.requireNoError(s.Start("entry", "entry-1"))
		s.requireNoError(s.AwaitReady(s.ctx, s.Entries()[0].Admin))
		s.awaitDone(0, jobs, 60*time.Second)
		if r := <-others; r.Done != r.Sent {
			s.Errorf("callers of the other entries: %+v", r)
		}
	},
}

var entryFrozen = Scenario{
	Name:        "EntryFrozen",
	Description: "an entry is frozen for longer than the others wait, is expelled, wakes, and starts again under a new name",
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
	Description: "each agent and each entry is replaced by plan under load; no request in progress is cut and no answer is lost",
	Run: func(s *Scene) {
		jobs := s.submitJobs("fleet-plan", 3, 4, 3*time.Second)
		// Only the last entry gets this load: a load balancer would not send to an
		// entry that is being replaced.
		last := s.startLoad(drive.Settings{Targets: s.ListenAddresses()[2:]}, 20*time.Second)
		for _, a := range s.Agents()[:3] {
			if !s.Proc(a.Worker).Stop() {
				s.Errorf("%s did not stop by plan:\n%s", a.Worker, lastBytes(s.Log(a.Worker)))
			}
			s.requireNoError(s.Start("agent", a.Worker))
			s.requireNoError(s.AwaitAllReady(s.ctx))
		}
		for _, e := range s.Entries()[:2] {
			during := s.startLoad(drive.Settings{Targets: []string{e.Listen}}, 200*time.Millisecond)
			s.pause(100 * time.Millisecond)
			ended := make(chan bool, 1)
			go func() { ended <- s.Proc(e.Name).Stop() }()
			if r := <-during; r.Done != r.Sent {
				s.Errorf("callers of %s, which stopped by plan: %+v", e.Name, r)
			}
			if !<-ended {
				s.Errorf("%s did not stop by plan:\n%s", e.Name, lastBytes(s.Log(e.Name)))
			}
			s.requireNoError(s.Start("entry", e.Name))
			s.requireNoError(s.AwaitReady(s.ctx, e.Admin))
		}
		if r := <-last; r.Done != r.Sent {
			s.Errorf("callers during the replacement: %+v", r)
		}
		s.awaitDone(2, jobs, 60*time.Second)
	},
}
