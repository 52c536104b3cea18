package intake

import (
	"time"

	"github.com/berylspar/spar"
	"github.com/cockroachdb/errors"
)

// minRefusals is how many appends in a row the store must have refused until
// records are refused without a call. A store that refuses a part of its calls
// reaches that rarely.
const minRefusals = 4

// refusalMemory is how long a refusal tells anything of the store. While callers come, a
// probe renews it sooner.
const refusalMemory = 8 * probeInterval

// AwayFor returns for how long the store has stored nothing though it was asked to, or 0.
func (w *Writer) AwayFor(now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.IsSilent():
		return max(w.store.door.silentFor(now), w.door.silentFor(now))
	case w.refusals > 0 && w.isRefusalFresh(now):
		return now.Sub(w.refusedSince)
	}
	return 0
}

// isRefusing reports whether the store refuses all appends to the topic.
func (w *Writer) isRefusing(now time.Time) bool {
	return w.refusals >= minRefusals && w.isRefusalFresh(now)
}

func (w *Writer) isRefusalFresh(now time.Time) bool { return now.Sub(w.refusedAt) <= refusalMemory }

// countRefusal counts the appends in a row that the store refuses whatever their content
// is. An append without an answer says nothing.
func (w *Writer) countRefusal(err error) {
	now := time.Now()
	switch {
	case err == nil || errors.Is(err, spar.ErrInvalid):
		if w.refusals >= minRefusals {
			w.store.Info("store stores records again", "topic", w.topic, "refused_for", now.Sub(w.refusedSince))
		}
		w.refusals = 0
	case errors.Is(err, spar.ErrRefused) && isAnswer(err):
		if !w.isRefusalFresh(now) {
			w.refusals = 0
		}
		w.refusals++
		w.refusedAt = now
		if w.refusals == 1 {
			w.refusedSince = now
		}
		if w.refusals == minRefusals {
			w.store.Warn("store refuses all records; new ones are refused without a call", "topic", w.topic, "refused_for", now.Sub(w.refusedSince), "err", err)
			w.store.Counter("store_refusing").Inc(1)
		}
	}
}
