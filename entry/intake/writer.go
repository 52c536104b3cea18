package intake

import (
	"context"
	"sync"
	"time"

	"github.com/berylspar/spar"
	"github.com/cockroachdb/errors"
)

const (
	// maxInFlight bounds the appends in flight: one, and those that repeat it on
	// other connections while its answer is late.
	maxInFlight = 3
	// minRepeatDelay is the shortest time before an append is repeated beside the
	// first one. A store answers within a few milliseconds.
	minRepeatDelay = 80 * time.Millisecond
	// repeatFactor is how many times the mean duration an answer may take before
	// the append is repeated.
	repeatFactor = 4
	// maxRepeatDelay bounds the time before an append is repeated.
	maxRepeatDelay = 1200 * time.Millisecond
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

	mu sync.Mutex
	// open holds the records without a result, in order of arrival.
	open     []*item
	inFlight int
	// mean is the moving mean of the duration of an append.
	mean time.Duration
	// repeats counts the repeats since the last success.
	repeats int
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
func NewWriter(s *Store, topic string) *Writer { return &Writer{store: s, topic: topic} }

// Write stores a record. Without a result until the context ends it fails with
// spar.ErrUnknown, or with spar.ErrRefused if the record was never sent.
func (w *Writer) Write(ctx context.Context, r spar.Record) error {
	if w.store.IsSilent() {
		return errors.Mark(errors.New("the store does not answer"), spar.ErrRefused)
	}
	it := &item{record: r, result: make(chan error, 1)}
	w.mu.Lock()
	w.open = append(w.open, it)
	w.pump(time.Now())
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

// pump starts the next append if it is due, and else has the timer call it again.
// While the store is silent it refuses the records that were not sent.
func (w *Writer) pump(now time.Time) {
	if w.store.IsSilent() {
		w.refuseUnsent()
	}
	if len(w.open) == 0 {
		return
	}
	if w.inFlight < maxInFlight && !now.Before(w.nextAt) {
		w.launch(now)
	}
	// The timer also notices that the store has become silent meanwhile.
	w.schedule(min(max(w.nextAt.Sub(now), time.Millisecond), silenceLimit/4))
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
func (w *Writer) refuseUnsent() {
	for _, it := range append([]*item(nil), w.open...) {
		if !it.sent {
			w.resolve(it, errors.Mark(errors.New("the store stopped answering before the record was sent"), spar.ErrRefused))
		}
	}
}

// launch starts an append of the open records.
func (w *Writer) launch(now time.Time) {
	var batch []*item
	var records []spar.Record
	size := 0
	for _, it := range w.open {
		size += len(it.record.Key) + len(it.record.Value)
		if len(batch) > 0 && size > maxBatchBytes {
			break
		}
		it.sent = true
		it.inFlight++
		batch, records = append(batch, it), append(records, it.record)
	}
	w.inFlight++
	delay := min(max(minRepeatDelay, repeatFactor*w.mean)<<min(w.repeats, 4), maxRepeatDelay)
	w.repeats++
	w.nextAt = now.Add(delay)
	go func() {
		_, err := w.store.Append(context.Background(), w.topic, nil, records)
		w.finish(batch, err, time.Since(now))
	}()
}

// finish applies the result of an append to its records.
func (w *Writer) finish(batch []*item, err error, took time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inFlight--
	if err == nil {
		w.mean += time.Duration(newestWeight * float64(took-w.mean))
		w.repeats, w.pause, w.nextAt = 0, 0, time.Time{}
	} else {
		w.pause = min(max(2*w.pause, retryPause), maxRetryPause)
		w.nextAt = time.Now().Add(w.pause)
	}
	for _, it := range batch {
		it.inFlight--
		switch {
		case len(it.result) > 0:
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
