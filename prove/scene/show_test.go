package scene

import (
	"sync"
	"time"

	"github.com/berylspar/spar/prove/stage"
)

var showWhileBusy = Scenario{
	Name:        "ShowWhileBusy",
	Description: "many ask for a job while its tasks are being placed; every question is answered and the job ends (an entry stood still over two locks taken in either order)",
	Run: func(s *Scene) {
		s.must(s.Submit(s.ctx, 0, "busy", "fleet-plan", 300, 200*time.Millisecond))
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
		s.must(stage.WaitUntil(s.ctx, 30*time.Second, "job ended", func() bool {
			j, err := s.Job(s.ctx, 0, "busy")
			return err == nil && j.Ended
		}))
	},
}
