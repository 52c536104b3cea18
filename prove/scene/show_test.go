package scene

import (
	"sync"
	"time"

	"github.com/berylspar/spar/prove/stage"
)

var showWhileBusy = Scenario{
	Name:        "ShowWhileBusy",
	Description: "many callers request a job's status while its tasks are being placed; every request is answered and the job ends (an entry used to deadlock because two locks were acquired in different orders)",
	Run: func(s *Scene) {
		s.requireNoError(s.Submit(s.ctx, 0, "busy", "fleet-plan", 300, 200*time.Millisecond))
		deadline := time.Now().Add(8 * time.Second)
		var callers sync.WaitGroup
		for i := range 6 {
			callers.Go(func() {
				for time.Now().Before(deadline) {
					start := time.Now()
					if _, err := s.Job(s.ctx, i%3, "busy"); err != nil || time.Since(start) > 3*time.Second {
						s.Errorf("status of job busy: want it within 3 s without an error, got it after %s with error %v", time.Since(start), err)
						return
					}
				}
			})
		}
		callers.Wait()
		s.requireNoError(stage.WaitUntil(s.ctx, 30*time.Second, "job ended", func() bool {
			job, err := s.Job(s.ctx, 0, "busy")
			return err == nil && job.Ended
		}))
	},
}
