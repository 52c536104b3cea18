package scene

import (
	"syscall"
	"time"

	"github.com/berylspar/spar/load/drive"
)

var entryKilled = Scenario{
	Name:        "EntryKilled",
	Description: "an entry is killed under load; the others serve, jobs finish, and it returns under a new name",
	Run: func(s *Scene) {
		jobs := s.submit("fleet-plan", 4, 4, 4*time.Second)
		others := s.load(drive.Settings{Targets: s.ListenAddresses()[1:], Repeatable: true}, 8*time.Second)
		s.awaitRunning()
		s.Proc("entry-1").Kill()
		s.pause(3 * time.Second)
		s.must(s.Start("entry", "entry-1"))
		s.must(s.AwaitReady(s.ctx, s.Entries()[0].Admin))
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
		jobs := s.submit("fleet-plan", 4, 4, 4*time.Second)
		s.awaitRunning()
		s.must(s.Proc("entry-2").Signal(syscall.SIGSTOP))
		s.pause(13 * time.Second)
		s.must(s.Proc("entry-2").Signal(syscall.SIGCONT))
		s.awaitDone(0, jobs, 60*time.Second)
		s.must(s.AwaitReady(s.ctx, s.Entries()[1].Admin))
		s.again = func(string) bool { return true }
	},
}

var plannedStops = Scenario{
	Name:        "PlannedStops",
	Description: "each agent and each entry is replaced by plan under load; no request in progress is cut and no answer is lost",
	Run: func(s *Scene) {
		jobs := s.submit("fleet-plan", 3, 4, 3*time.Second)
		// The balancer keeps away from an entry that is being replaced.
		last := s.load(drive.Settings{Targets: s.ListenAddresses()[2:]}, 20*time.Second)
		for _, a := range s.Agents()[:3] {
			if !s.Proc(a.Worker).Stop() {
				s.Errorf("%s did not stop by plan:\n%s", a.Worker, tailOf(s.Log(a.Worker)))
			}
			s.must(s.Start("agent", a.Worker))
			s.must(s.AwaitAllReady(s.ctx))
		}
		for _, e := range s.Entries()[:2] {
			during := s.load(drive.Settings{Targets: []string{e.Listen}}, 200*time.Millisecond)
			s.pause(100 * time.Millisecond)
			ended := make(chan bool, 1)
			go func() { ended <- s.Proc(e.Name).Stop() }()
			if r := <-during; r.Done != r.Sent {
				s.Errorf("callers of %s, which stopped by plan: %+v", e.Name, r)
			}
			if !<-ended {
				s.Errorf("%s did not stop by plan:\n%s", e.Name, tailOf(s.Log(e.Name)))
			}
			s.must(s.Start("entry", e.Name))
			s.must(s.AwaitReady(s.ctx, e.Admin))
		}
		if r := <-last; r.Done != r.Sent {
			s.Errorf("callers during the replacement: %+v", r)
		}
		s.awaitDone(2, jobs, 60*time.Second)
	},
}
