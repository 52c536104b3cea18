package intake

import (
	"sync"
	"time"
)

// doorLimits are the limits at which a door closes.
type doorLimits struct {
	// silence is how long no call may be answered.
	silence time.Duration
	// unanswered is how many calls in a row must be without an answer.
	unanswered int
}

const (
	// silenceLimit is how long no call to the store may be answered until
	// records are refused. Memberships are renewed several times in that time,
	// so there are calls to be answered even without callers.
	silenceLimit = 700 * time.Millisecond
	// minUnanswered is how many calls in a row must be without an answer. A
	// store that loses half of its answers reaches that rarely.
	minUnanswered = 6
	// topicSilenceLimit and minTopicUnanswered are the same for the appends to
	// one topic, whose partition may be silent alone. They are fewer than all
	// calls, and only some of them have a connection of their own.
	topicSilenceLimit  = 1200 * time.Millisecond
	minTopicUnanswered = 7
	// silenceFactor is how many times the mean duration of a call the silence
	// must last, since a slow store does answer. maxSilenceLimit bounds it.
	silenceFactor   = 4
	maxSilenceLimit = 1500 * time.Millisecond
)

// Door tells whether the store answers. It closes when calls were sent and none
// has been answered for silenceLimit, and opens with the next answer, whatever
// call it belongs to.
type Door struct {
	limits doorLimits
	mu     sync.Mutex
	// pending is the number of calls in flight.
	pending int
	// waitingSince is when the first call after the last answer was sent; zero
	// if there is none.
	waitingSince time.Time
	// unanswered counts the calls sent after the last answer.
	unanswered int
	// mean is the moving mean of the duration of answered calls.
	mean   time.Duration
	closed bool
	// onChange is called after each change, with the time without an answer.
	onChange func(closed bool, silent time.Duration)
}

// Sent records that a call was sent.
func (d *Door) Sent(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pending++
	d.unanswered++
	if d.waitingSince.IsZero() {
		d.waitingSince = now
	}
}

// Answered records an answer of the store to a call that was not recorded.
func (d *Door) Answered(now time.Time) {
	d.mu.Lock()
	mean := d.mean
	d.pending++
	d.mu.Unlock()
	d.Ended(true, mean, now)
}

// Ended records the end of a call, whether the store answered it, and how long
// it took.
func (d *Door) Ended(answered bool, took time.Duration, now time.Time) {
	d.mu.Lock()
	d.pending--
	opened, silent := answered && d.closed, now.Sub(d.waitingSince)
	if answered {
		d.mean += time.Duration(newestWeight * float64(took-d.mean))
		d.closed, d.unanswered, d.waitingSince = false, 0, time.Time{}
		if d.pending > 0 {
			d.waitingSince = now
		}
	}
	onChange := d.onChange
	d.mu.Unlock()
	if opened && onChange != nil {
		onChange(false, silent)
	}
}

// meanDuration returns the moving mean of the duration of answered calls.
func (d *Door) meanDuration() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.mean
}

func (d *Door) limit() time.Duration {
	return min(max(d.limits.silence, silenceFactor*d.mean), maxSilenceLimit)
}

// silentFor returns for how long no call was answered, or 0 if the door is open.
func (d *Door) silentFor(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.closed || d.waitingSince.IsZero() {
		return 0
	}
	return now.Sub(d.waitingSince)
}

// IsClosed reports whether the store does not answer.
func (d *Door) IsClosed(now time.Time) bool {
	d.mu.Lock()
	silent := now.Sub(d.waitingSince)
	closing := !d.closed && !d.waitingSince.IsZero() && silent >= d.limit() && d.unanswered >= d.limits.unanswered
	d.closed = d.closed || closing
	closed, onChange := d.closed, d.onChange
	d.mu.Unlock()
	if closing && onChange != nil {
		onChange(true, silent)
	}
	return closed
}
