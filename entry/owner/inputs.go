package owner

import "time"

const (
	// maxInputAge is the age of the known jobs and configuration above which no
	// task is started: a cancel or a closed domain may have been missed.
	maxInputAge = 1800 * time.Millisecond
	// inputReadRepeat is the age from which a read of stale inputs is sent again. A
	// slow store needs half of it.
	inputReadRepeat = 500 * time.Millisecond
	// minReportedStaleness is how long no task must have started for that to be logged.
	minReportedStaleness = time.Second
)

// staleness is the time since which the inputs are too old to start tasks; zero while
// they are not.
type staleness struct {
	since    time.Time
	reported bool
}

// inputsAreFresh reports whether cancels and closed domains were read recently
// enough to start tasks.
func (t *term) inputsAreFresh(now time.Time) bool {
	return now.Sub(t.jobs.FreshAt()) < maxInputAge && now.Sub(t.config.FreshAt()) < maxInputAge
}

// checkInputs reports whether tasks may start, and logs when they may not for a while
// and when they may again.
func (t *term) checkInputs(now time.Time) bool {
	if t.inputsAreFresh(now) {
		if t.stale.reported {
			t.Info("tasks may start again", "after", now.Sub(t.stale.since), "epoch", t.epoch)
		}
		t.stale = staleness{}
		return true
	}
	t.jobs.RepeatRead(inputReadRepeat)
	t.config.RepeatRead(inputReadRepeat)
	if t.stale.since.IsZero() {
		t.stale.since = now
	}
	if !t.stale.reported && now.Sub(t.stale.since) >= minReportedStaleness {
		t.stale.reported = true
		t.Warn("no task may start: cancels or closed domains may be missing", "jobs_read", t.jobs.FreshAt(), "config_read", t.config.FreshAt(), "epoch", t.epoch)
	}
	return false
}
