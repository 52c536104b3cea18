package owner

import (
	"math"
	"time"

	"github.com/berylspar/spar/admit"
)

const (
	// backlogInterval is the time between two reports of the backlog as metrics, and
	// backlogLogInterval that between two log lines of a queue.
	backlogInterval    = time.Second
	backlogLogInterval = 5 * time.Second
	// minReportedWait is how long the oldest task of a queue must have waited for a log
	// line.
	minReportedWait = 2 * time.Second
)

// backlogReport is when the backlog was last reported, and which series it has.
type backlogReport struct {
	reportedAt, loggedAt time.Time
	series               map[backlogSeries]bool
}

// backlogSeries is what a backlog is reported by.
type backlogSeries struct{ service, queue, room string }

// reportBacklog reports what waits in each queue, for how long, and how long a new large job
// of the queue would wait for its first start. The lock of the state is held.
func (t *term) reportBacklog(now time.Time) {
	b := &t.backlog
	if now.Sub(b.reportedAt) < backlogInterval {
		return
	}
	b.reportedAt = now
	logs := now.Sub(b.loggedAt) >= backlogLogInterval
	if logs {
		b.loggedAt = now
	}
	before := b.series
	b.series = map[backlogSeries]bool{}
	l := t.scheduler.Load(now)
	for service, s := range l.Services {
		t.reportRoom(backlogSeries{service: service, room: "reserved"}, s.Reserved, l.Age, logs)
		t.reportRoom(backlogSeries{service: service, room: "filling"}, s.Filling, l.Age, logs)
	}
	for k := range before {
		if !b.series[k] {
			t.setBacklog(k, admit.Waiting{}, 0)
		}
	}
}

func (t *term) reportRoom(k backlogSeries, b admit.Backlog, age time.Duration, logs bool) {
	for _, w := range b.Waiting {
		k.queue = w.Queue
		t.backlog.series[k] = true
		wait, known := b.WaitAt(w.Priority, admit.SizeOf(math.MaxInt64))
		t.setBacklog(k, w, wait)
		if logs && w.Oldest >= minReportedWait {
			t.Info("work waits", "service", k.service, "queue", k.queue, "room", k.room, "priority", w.Priority, "tasks", w.Tasks, "oldest", w.Oldest,
				"work", w.Work, "late_work", w.Late, "drain_milli", b.DrainMilli, "expected_wait", wait, "wait_known", known, "load_age", age, "epoch", t.epoch)
		}
	}
}

// clearBacklog ends all series of a term that is over; the next owner has its own.
func (t *term) clearBacklog() {
	for k := range t.backlog.series {
		t.setBacklog(k, admit.Waiting{}, 0)
	}
}

func (t *term) setBacklog(k backlogSeries, w admit.Waiting, wait time.Duration) {
	scope := t.Tagged(map[string]string{"service": k.service, "queue": k.queue, "room": k.room})
	scope.Gauge("backlog_tasks").Update(float64(w.Tasks))
	scope.Gauge("backlog_oldest_seconds").Update(w.Oldest.Seconds())
	scope.Gauge("backlog_expected_wait_seconds").Update(wait.Seconds())
}
