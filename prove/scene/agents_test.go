package scene

import (
	"syscall"
	"time"
)

var agentKilled = Scenario{
	Name:        "AgentKilled",
	Description: "an agent is killed with tasks running and started again; its tasks resume and none runs twice",
	Run: func(s *Scene) {
		jobs := s.submit("fleet-plan", 4, 4, 5*time.Second)
		w := s.awaitRunning()
		s.Proc(w).Kill()
		s.must(s.Start("agent", w))
		s.awaitDone(0, jobs, 60*time.Second)
	},
}

var agentFrozen = Scenario{
	Name:        "AgentFrozen",
	Description: "an agent is frozen past its lease and wakes; its tasks went on elsewhere and it starts nothing on old knowledge",
	Run: func(s *Scene) {
		jobs := s.submit("fleet-plan", 4, 4, 5*time.Second)
		w := s.awaitRunning()
		s.must(s.Proc(w).Signal(syscall.SIGSTOP))
		s.pause(9 * time.Second)
		s.must(s.Proc(w).Signal(syscall.SIGCONT))
		s.awaitDone(0, jobs, 60*time.Second)
		s.again = func(string) bool { return true }
	},
}
