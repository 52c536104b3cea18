package scene

import (
	"syscall"
	"time"
)

var agentKilled = Scenario{
	Name:        "AgentKilled",
	Description: "an agent is killed with tasks running and started again; its tasks resume and none runs twice",
	Run: func(s *Scene) {
		jobs := s.submitJobs("fleet-plan", 4, 4, 5*time.Second)
		worker := s.awaitRunningWorker()
		s.Proc(worker).Kill()
		s.requireNoError(s.Start("agent", worker))
		s.awaitDone(0, jobs, 60*time.Second)
	},
}

var agentFrozen = Scenario{
	Name:        "AgentFrozen",
	Description: "an agent is frozen past its lease and resumes; its tasks continued elsewhere and it starts nothing on outdated state",
	Run: func(s *Scene) {
		jobs := s.submitJobs("fleet-plan", 4, 4, 5*time.Second)
		worker := s.awaitRunningWorker()
		s.requireNoError(s.Proc(worker).Signal(syscall.SIGSTOP))
		s.pause(9 * time.Second)
		s.requireNoError(s.Proc(worker).Signal(syscall.SIGCONT))
		s.awaitDone(0, jobs, 60*time.Second)
		s.mayRepeat = func(string) bool { return true }
	},
}
