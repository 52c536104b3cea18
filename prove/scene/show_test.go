package scene

import (
	"sync"
	"time"

	"github.com/berylspar/spar/prove/stage"
)

var showWhileBusy = Scenario{
	Name:        "ShowWhileBusy",
	Description: "many callers request a job's status while its tasks are being placed; every request is answered and the job ends (an entry deadlocked when two locks were acquired in different orders)",
	Run: func(s *Scene) {
		s.requireNoError(s.Submit(s.ctx, 0, "busy", "fleet-plan", 300, 200*time.Millisecond))
		end := time.Now().Add(8 * time.Second)
		var all sync.WaitGroup
		for i := range 6 {
			all.Go(func() {
				for time.Now().Before(end) {
					began := time.Now()
					if _, err := s.Job(s.ctx, i%3, "busy"); err != nil || time.Since(began) > 3*time.Second {
						s.Errorf("job show took %s: %v", time.Since(began), err)
						return
					}
				}
			})
		}
		all.Wait()
		s.requireNoError(stage.WaitUntil(s.ctx, 30*time.Second, "job ended", func() bool {
			j, err := s.Job(s.ctx, 0, "busy")
			return err == nil && j.Ended
		}))
	},
}
