package owner

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/common"
	"github.com/berylspar/spar/entry/config"
	"github.com/berylspar/spar/stand/store"
	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"
)

// logBuffer is a buffer that several goroutines may use.
type logBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// While the store cannot be read, no task starts. Logs that do not say so leave an
// operator to search for the cause among the workers.
func TestStaleInputsAreLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var logs logBuffer
		c := common.Common{Logger: log.NewLogfmtLogger(&logs), Scope: tally.NoopScope}
		client := store.NewClient(&store.Store{}, 1)
		watcher := config.NewWatcher(c, client, "op", func(spar.Record) (config.Change, error) { return config.Change{}, nil })
		tm := newTerm(&Candidate{Common: c, settings: DefaultSettings(), config: watcher, clock: func() time.Duration { return 0 }}, 7, time.Minute)
		tm.jobs.Store = client
		expect := func(fresh bool, warnings, ends int) {
			t.Helper()
			synctest.Wait()
			if got := tm.checkInputs(time.Now()); got != fresh {
				t.Errorf("inputs are fresh: %v, want %v", got, fresh)
			}
			if w, e := strings.Count(logs.String(), "no task may start"), strings.Count(logs.String(), "tasks may start again"); w != warnings || e != ends {
				t.Errorf("%d warnings and %d ends of them, want %d and %d:\n%s", w, e, warnings, ends, logs.String())
			}
		}
		ctx, cancel := context.WithCancel(t.Context())
		watching, following := watcher.Run(ctx), tm.jobs.Run(ctx)
		time.Sleep(time.Second)
		expect(true, 0, 0)
		client.SetFaults(store.Faults{Unreachable: true})
		time.Sleep(4 * time.Second)
		expect(false, 0, 0)
		time.Sleep(time.Second)
		expect(false, 1, 0)
		time.Sleep(time.Second)
		expect(false, 1, 0)
		client.SetFaults(store.Faults{})
		time.Sleep(3 * time.Second)
		expect(true, 1, 1)
		cancel()
		if err := errors.CombineErrors(<-watching, <-following); err != nil {
			t.Error(err)
		}
	})
}

// Nothing is submitted and no configuration changes. A read that waits for long is then all
// that shows that nothing was missed; if its answer comes too late, no task starts meanwhile.
func TestTasksMayStartWhileTheTopicsAreIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := common.Common{Logger: log.NewNopLogger(), Scope: tally.NoopScope}
		client := store.NewClient(&store.Store{}, 1)
		watcher := config.NewWatcher(c, client, "op", func(spar.Record) (config.Change, error) { return config.Change{}, nil })
		tm := newTerm(&Candidate{Common: c, settings: DefaultSettings(), config: watcher, clock: func() time.Duration { return 0 }}, 7, time.Minute)
		tm.jobs.Store = client
		ctx, cancel := context.WithCancel(t.Context())
		watching, following := watcher.Run(ctx), tm.jobs.Run(ctx)
		time.Sleep(time.Second)
		const checks = 1000
		stale := 0
		for range checks {
			time.Sleep(10 * time.Millisecond)
			if !tm.inputsAreFresh(time.Now()) {
				stale++
			}
		}
		if stale > 0 {
			t.Errorf("no task may start in %d of %d moments", stale, checks)
		}
		cancel()
		if err := errors.CombineErrors(<-watching, <-following); err != nil {
			t.Error(err)
		}
	})
}
