package intake

import (
	"context"
	"sync"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/hedge"
	"github.com/cockroachdb/errors"
)

const (
	// maxInFlight bounds the appends in flight: one, and those that repeat it on
	// other connections while its answer is late. An append that was sent more
	// than staleAfter ago does not count any longer.
	maxInFlight = 3
	staleAfter  = 500 * time.Millisecond
	// maxInFlightSlow and staleAfterSlow are the same while the store is slow:
	// each repeat would wait in the same queue as the append before it, and
	// lengthen it for all.
	maxInFlightSlow = 1
	staleAfterSlow  = 2500 * time.Millisecond
	// maxDoubtfulRepeats is the number of appends without a success from which
	// records that were not sent are held back: if the store turns out to be
	// silent, they can still be refused.
	maxDoubtfulRepeats = 2
	// probeInterval is the interval of empty appends while the topic is silent.
	// They end when no caller has come for probeDuration.
	probeInterval = 250 * time.Millisecond
	probeDuration = 10 * time.Second
	// minRepeatDelay is the shortest time before an append is repeated beside the
	// first one. A store answers within a few milliseconds.
	minRepeatDelay = 80 * time.Millisecond
	// repeatFactor is how many times the mean duration an answer may take before
	// the append is repeated. The calls of the other kinds count as well: they
	// show that the store is slow before the first append is answered.
	repeatFactor = 4
	// maxRepeatDelay bounds that time, which doubles with each repeat.
	maxRepeatDelay = 320 * time.Millisecond
	// retryPause is the pause after an append without an answer; pauses double up
	// to maxRetryPause.
	retryPause, maxRetryPause = 40 * time.Millisecond, 320 * time.Millisecond
	// newestWeight is the weight of the newest duration in the moving mean.
	newestWeight = 0.3
	// maxBatchBytes bounds one append, well below what the store accepts.
	maxBatchBytes = 512 << 10
)

// Writer appends records to a topic in groups.
type Writer struct {
	store *Store
	topic string
	// door tells whether the topic answers.
	door Door

	mu sync.Mutex
	// open holds the records without a result, in order of arrival.
	open []*item
	// sentAt holds the times at which the appends in flight were sent.
	sentAt map[int]time.Time
	// lastAppend numbers the appends.
	lastAppend int
	// calledAt is when a caller last came.
	calledAt time.Time
	// mean is the moving mean of the duration of an append.
	mean time.Duration
	// repeats counts the repeats since the last success, and refusals the appends in a
	// row that the store has refused; refusedSince and refusedAt are when the first and
	// the last of them ended.
	repeats, refusals       int
	refusedSince, refusedAt time.Time
	// pause is the last pause after an append without success.
	pause time.Duration
	timer *time.Timer
	// nextAt is the earliest time of the next append: after a success at once,
	// else after a pause, or when the one in flight is to be repeated.
	nextAt time.Time
}

// item is a record that waits for its result.
type item struct {
	record   spar.Record
	inFlight int
	// sent reports whether the record was in an append, and unsure whether one
	// of these had no answer.
	sent, unsure bool
	result       chan error
}

// NewWriter returns a writer for a topic.
func NewWriter(s *Store, topic string) *Writer {
	return &Writer{store: s, topic: topic, sentAt: map[int]time.Time{}, door: Door{limits: doorLimits{topicSilenceLimit, minTopicUnanswered}, onChange: logChange(s.Common, topic)}}
}

// IsSilent reports whether the store, or the topic alone, does not answer.
func (w *Writer) IsSilent() bool { return w.store.IsSilent() || w.door.IsClosed(time.Now()) }

// Write stores a record. Without a result until the context ends it fails with
// spar.ErrUnknown, or with spar.ErrRefused if the record was never sent.
func (w *Writer) Write(ctx context.Context, r spar.Record) error {
	it := &item{record: r, result: make(chan error, 1)}
	w.mu.Lock()
	w.calledAt = time.Now()
	w.open = append(w.open, it)
	w.pump(w.calledAt)
	w.mu.Unlock()
	select {
	case err := <-it.result:
		return err
	case <-ctx.Done():
		return w.abandon(ctx, it)
	}
}

// abandon removes a record whose caller does not wait any longer.
func (w *Writer) abandon(ctx context.Context, it *item) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case err := <-it.result:
		return err
	default:
	}
	w.remove(it)
	if it.sent {
		return errors.Mark(errors.Wrap(ctx.Err(), "append without an answer"), spar.ErrUnknown)
	}
	return errors.Mark(errors.Wrap(ctx.Err(), "not sent to the store"), spar.ErrRefused)
}

func (w *Writer) remove(it *item) {
	for i, o := range w.open {
		if o == it {
			w.open = append(w.open[:i], w.open[i+1:]...)
			return
		}
	}
}

// resolve passes a result on to the caller of a record.
func (w *Writer) resolve(it *item, err error) {
	w.remove(it)
	it.result <- err
}

// pump starts the next append if it is due, and has the timer call it again while
// there is something to do. While the topic is silent, or the store refuses all
// appends, it refuses the records that were not sent, and an empty append probes
// whether the topic is back.
func (w *Writer) pump(now time.Time) {
	silent, refusing := w.IsSilent(), w.isRefusing(now)
	switch {
	case silent:
		w.refuseUnsent("the store does not answer")
	case refusing:
		w.refuseUnsent("the store refuses all appends")
	}
	probe := (silent && w.door.IsClosed(now) || refusing) && now.Sub(w.calledAt) < probeDuration
	if len(w.open) == 0 && !probe {
		return
	}
	if w.hasFreeSlot(now) && !now.Before(w.nextAt) {
		w.launch(now)
		if len(w.open) == 0 {
			w.nextAt = now.Add(probeInterval)
		}
	}
	// The timer also notices that the store has become silent meanwhile.
	w.schedule(min(max(w.nextAt.Sub(now), time.Millisecond), silenceLimit/4))
}

// hasFreeSlot reports whether another append may be in flight.
func (w *Writer) hasFreeSlot(now time.Time) bool {
	limit, stale := maxInFlight, staleAfter
	if w.store.IsSlow() {
		limit, stale = maxInFlightSlow, staleAfterSlow
	}
	for _, at := range w.sentAt {
		if now.Sub(at) < stale {
			limit--
		}
	}
	return limit > 0
}

func (w *Writer) schedule(d time.Duration) {
	if w.timer == nil {
		w.timer = time.AfterFunc(d, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.pump(time.Now())
		})
		return
	}
	w.timer.Reset(d)
}

// refuseUnsent refuses the records that no append contained.
func (w *Writer) refuseUnsent(reason string) {
	for _, it := range append([]*item(nil), w.open...) {
		if !it.sent {
			w.resolve(it, errors.Mark(errors.New(reason), spar.ErrRefused))
		}
	}
}

// launch starts an append of the open records.
func (w *Writer) launch(now time.Time) {
	var batch []*item
	var records []spar.Record
	size := 0
	hold := w.repeats >= maxDoubtfulRepeats && w.hasSent()
	for _, it := range w.open {
		if hold && !it.sent {
			continue
		}
		size += len(it.record.Key) + len(it.record.Value)
		if len(batch) > 0 && size > maxBatchBytes {
			break
		}
		it.sent = true
		it.inFlight++
		batch, records = append(batch, it), append(records, it.record)
	}
	w.lastAppend++
	number := w.lastAppend
	w.sentAt[number] = now
	w.door.Sent(now)
	delay := max(min(minRepeatDelay<<min(w.repeats, 4), maxRepeatDelay), repeatFactor*max(w.mean, w.store.door.meanDuration())) + hedge.TransferTime(size)
	w.repeats++
	w.nextAt = now.Add(delay)
	// The append ends with the store's own deadline, since it serves many callers.
	go func() {
		_, err := w.store.Append(context.Background(), w.topic, nil, records)
		w.finish(number, batch, err, time.Since(now))
	}()
}

// hasSent reports whether a record without a result was sent before.
func (w *Writer) hasSent() bool {
	for _, it := range w.open {
		if it.sent {
			return true
		}
	}
	return false
}

// finish applies the result of an append to its records.
func (w *Writer) finish(number int, batch []*item, err error, took time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.sentAt, number)
	w.door.Ended(isAnswer(err), took, time.Now())
	if err == nil {
		w.mean += time.Duration(newestWeight * float64(took-w.mean))
		w.repeats, w.pause, w.nextAt = 0, 0, time.Time{}
	} else {
		w.pause = min(max(2*w.pause, retryPause), maxRetryPause)
		if w.isRefusing(time.Now()) {
			w.pause = min(w.pause, probeInterval)
		}
		w.nextAt = time.Now().Add(w.pause)
	}
	w.countRefusal(err)
	if len(batch) > 1 && errors.Is(err, spar.ErrInvalid) {
		// The content that is refused may be that of another record.
		err = errors.Mark(errors.Newf("append of %d records: %v", len(batch), err), spar.ErrRefused)
	}
	for _, it := range batch {
		it.inFlight--
		switch {
		case len(it.result) > 0:
			// An earlier answer resolved the record.
		case err == nil:
			w.resolve(it, nil)
		case !errors.Is(err, spar.ErrRefused):
			it.unsure = true
		case it.inFlight == 0 && !it.unsure:
			w.resolve(it, err)
		}
	}
	w.pump(time.Now())
}
