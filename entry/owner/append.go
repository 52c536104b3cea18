package owner

import (
	"context"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/track"
	"github.com/cockroachdb/errors"
)

// minRefusedBytes is the size from which a refused append is taken to be refused for
// its content. A store that refuses less than that refuses everything, so the append
// is repeated.
const minRefusedBytes = 4 << 10

// recordHeaderBytes is what an append adds to the key and the value of a record.
const recordHeaderBytes = 5

// retryStoreCall repeats a store call until it succeeds, it is fenced or out of
// sequence, its content is refused, or the context ends. size is the number of bytes
// that the call writes.
func (t *term) retryStoreCall(ctx context.Context, size int, call func() error) error {
	pause := retryPause
	for tries := 1; ; tries++ {
		err := call()
		refused := errors.Is(err, spar.ErrInvalid) && size >= minRefusedBytes
		if err == nil || refused || errors.Is(err, spar.ErrFenced) || errors.Is(err, spar.ErrSequence) {
			if tries > 1 {
				t.Info("store call answered", "epoch", t.epoch, "tries", tries, "err", err)
			}
			return err
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		t.Counter("store_repeats").Inc(1)
		if tries == 1 {
			t.Warn("store call failed; retrying", "epoch", t.epoch, "bytes", size, "err", err)
		}
		track.Pause(ctx, pause)
		pause = min(2*pause, maxRetryPause)
	}
}

// appendFenced appends to a topic with the term's epoch and repeats that until it
// is answered. It reports whether the records are stored; if not, the term has
// failed.
func (t *term) appendFenced(ctx context.Context, topic string, seq int64, records []spar.Record) bool {
	err := t.appendOnce(ctx, topic, seq, records)
	if err != nil {
		t.fail(err)
	}
	return err == nil
}

func (t *term) appendOnce(ctx context.Context, topic string, seq int64, records []spar.Record) error {
	p := &spar.Producer{Name: producerName, Epoch: t.epoch, Seq: seq}
	return t.retryStoreCall(ctx, recordsSize(records), func() error { return t.write(ctx, topic, p, records) })
}

// appendProgress appends records to the progress topic in order, in as many appends as
// their size needs. It returns the records whose content the store refuses, which are
// not stored. After an error the term has failed.
func (t *term) appendProgress(ctx context.Context, records []spar.Record) ([]spar.Record, error) {
	var refused []spar.Record
	for _, batch := range splitRecords(records, t.settings.appendBytes()) {
		r, err := t.appendBatch(ctx, batch)
		if err != nil {
			t.fail(err)
			return nil, err
		}
		refused = append(refused, r...)
	}
	return refused, nil
}

// appendBatch appends records to the progress topic. If the store refuses their
// content, it appends the halves, to find the records that are refused.
func (t *term) appendBatch(ctx context.Context, records []spar.Record) ([]spar.Record, error) {
	err := t.appendOnce(ctx, stateTopic, t.appendSeq+1, records)
	switch {
	case err == nil:
		t.appendSeq++
		return nil, nil
	case !errors.Is(err, spar.ErrInvalid):
		return nil, err
	case len(records) == 1:
		t.Warn("store refuses a record", "epoch", t.epoch, "key", records[0].Key, "bytes", len(records[0].Value), "err", err)
		t.Counter("records_refused").Inc(1)
		return records, nil
	}
	half := len(records) / 2
	refused, err := t.appendBatch(ctx, records[:half])
	if err != nil {
		return nil, err
	}
	more, err := t.appendBatch(ctx, records[half:])
	return append(refused, more...), err
}

// splitRecords splits records into batches that take at most limit bytes each, or hold
// one record.
func splitRecords(records []spar.Record, limit int) [][]spar.Record {
	var out [][]spar.Record
	begin, size := 0, 0
	for i := range records {
		n := recordsSize(records[i : i+1])
		if i > begin && size+n > limit {
			out = append(out, records[begin:i])
			begin, size = i, 0
		}
		size += n
	}
	if begin < len(records) {
		out = append(out, records[begin:])
	}
	return out
}

// recordsSize is the number of bytes that records take in an append.
func recordsSize(records []spar.Record) int {
	n := 0
	for _, r := range records {
		n += len(r.Key) + len(r.Value) + recordHeaderBytes
	}
	return n
}
