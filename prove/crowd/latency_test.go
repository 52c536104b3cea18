package crowd_test

import (
	"flag"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

var before = flag.String("before", "", "folder with the entry of another build, to compare accepted jobs with")

const (
	latencyJobs    = 1000
	latencyCallers = 4
)

// Without a crowd, jobs are accepted as fast as by another build. The two take turns; the
// figures are only printed.
func TestLatencyOfAcceptedJobs(t *testing.T) {
	if *before == "" {
		t.Skip("needs -before")
	}
	folders := []string{*before, *built}
	var urls []string
	for _, f := range folders {
		d := newDeployment(t)
		d.folder = f
		urls = append(urls, "http://"+d.start("entry", nil).addresses["listen"]+prefix)
	}
	for _, kept := range []bool{true, false} {
		taken := make([][]time.Duration, len(urls))
		var mu sync.Mutex
		var callers sync.WaitGroup
		for range latencyCallers {
			client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: !kept}}
			callers.Go(func() {
				for i := range latencyJobs {
					which := i % len(urls)
					q, err := http.NewRequestWithContext(t.Context(), http.MethodPost, urls[which]+newID(), strings.NewReader(job()))
					if err != nil {
						t.Error(err)
						return
					}
					q.Host = host
					begun := time.Now()
					a, err := client.Do(q)
					if err != nil || a.StatusCode != http.StatusOK {
						t.Errorf("%s: %v, %v", urls[which], a, err)
						return
					}
					a.Body.Close()
					mu.Lock()
					taken[which] = append(taken[which], time.Since(begun))
					mu.Unlock()
				}
			})
		}
		callers.Wait()
		for i, d := range taken {
			slices.Sort(d)
			t.Logf("%s, connections kept %t: median %s, p99 %s of %d", folders[i], kept, d[len(d)/2], d[len(d)*99/100], len(d))
		}
	}
}
