package shard

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/codec"
	"github.com/berylspar/spar/link"
	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	// modelKey is the key of the stored interference model. It cannot collide
	// with a job, since no job ID contains a hash sign.
	modelKey = "#clash"
	// modelStoreInterval is the shortest time between two writes of the model.
	modelStoreInterval = 2 * time.Second
	// maxModelBytes is the size of the stored model. What it leaves out is learnt
	// again.
	maxModelBytes = 128 << 10
)

// maxEndDelay is the time that storing the end of a job may take before the time of the end
// is stored again.
const maxEndDelay = 5 * time.Second

// Commit holds changes that must be stored, and the effects that may be
// released after that.
type Commit struct {
	// Records are written to the progress topic in this order. An owner that ends
	// after some of them leaves records that the next one can restore.
	Records   []spar.Record
	jobStates map[*job]State
	// refusedJobs are those of which the store has refused a record.
	refusedJobs map[*job]bool
	claimedRuns []*run
	acks        map[*worker]int64
}

// Empty reports whether there is nothing to store and no effect to release.
func (c *Commit) Empty() bool {
	return len(c.Records) == 0 && len(c.acks) == 0 && len(c.claimedRuns) == 0
}

// PrepareCommit collects and clears the changes since the last commit.
func (sc *Scheduler) PrepareCommit() *Commit {
	out := &Commit{jobStates: map[*job]State{}, refusedJobs: map[*job]bool{}, claimedRuns: sc.claimedRuns, acks: sc.pendingAcks}
	var heads, drops []spar.Record
	for j := range sc.changedJobs {
		r := j.takeChanges(sc.limits.recordBytes(), sc.now)
		out.Records, heads, drops = append(out.Records, r.parts...), append(heads, r.head...), append(drops, r.drops...)
		out.jobStates[j] = j.state
	}
	out.Records = slices.Concat(out.Records, heads, drops)
	for _, key := range sc.droppedKeys {
		out.Records = append(out.Records, spar.Record{Key: key})
	}
	if sc.interference.PairCount() > 0 && sc.now.Sub(sc.modelCheckedAt) >= modelStoreInterval {
		if v := sc.interference.Encode(min(maxModelBytes, sc.limits.recordBytes())); !bytes.Equal(v, sc.storedModel) {
			out.Records = append(out.Records, spar.Record{Key: modelKey, Value: v})
			sc.storedModel = v
		}
		sc.modelCheckedAt = sc.now
	}
	if len(out.Records) > 0 && !sc.wall.IsZero() {
		out.Records = append(out.Records, sc.grantedLifeRecords()...)
	}
	sc.changedJobs, sc.claimedRuns, sc.pendingAcks = map[*job]bool{}, nil, map[*worker]int64{}
	sc.droppedKeys = nil
	return out
}

// RejectRecords ends the jobs of records that the store refuses for their content, so
// that the others go on. It is called before FinishCommit. The acknowledgements of the
// commit wait for the next one, which stores that the jobs have failed.
func (sc *Scheduler) RejectRecords(c *Commit, refused []spar.Record, now time.Time) {
	for _, r := range refused {
		sc.onEvent(Event{Name: "record refused", Task: r.Key, Reason: fmt.Sprintf("%d bytes", len(r.Value))})
		j := sc.jobs[jobOfKey(r.Key)]
		if j == nil {
			continue
		}
		c.refusedJobs[j] = true
		if j.hasEnded() {
			continue
		}
		j.failure = fmt.Sprintf("progress record %s of %d bytes is refused by the store", r.Key, len(r.Value))
		sc.endJob(j, Failed, now)
	}
	for w, n := range c.acks {
		sc.pendingAcks[w] = max(sc.pendingAcks[w], n)
	}
	c.acks = nil
}

// jobOfKey returns the ID of the job whose progress is stored under a key, or "".
func jobOfKey(key string) string {
	if rest, ok := strings.CutPrefix(key, partPrefix); ok {
		id, _, _ := strings.Cut(rest, "/")
		return id
	}
	if strings.HasPrefix(key, "#") {
		return ""
	}
	return key
}

// orderClaims returns the start orders of claimed runs that may be given. Their
// workers must still have room for all runs that are assigned to them; a gang is
// started as a whole or not at all. The other claims are removed, since no worker
// has received them.
func (sc *Scheduler) orderClaims(claims []*run, mayOrder bool) []*run {
	var valid, out []*run
	for _, r := range claims {
		w := r.worker
		switch {
		case !w.runs[r]:
		case !mayOrder || w.token != r.token || !w.listed || r.stopping:
			sc.removeRun(r)
		default:
			valid = append(valid, r)
		}
	}
	// The last claims give way, so that the first ones find room.
	lacking := map[*step]bool{}
	for i := len(valid) - 1; i >= 0; i-- {
		r := valid[i]
		s := r.task.step
		if s.Gang && lacking[s] || !r.worker.room.Fits(r.worker.info.Size) {
			sc.onEvent(Event{Name: "claim dropped", Task: r.task.ref().String(), Run: r.number, Node: r.worker.node, Reason: "worker is smaller now"})
			lacking[s] = true
			sc.removeRun(r)
			valid[i] = nil
		}
	}
	for _, r := range valid {
		switch {
		case r == nil:
		case r.task.step.Gang && lacking[r.task.step]:
			sc.removeRun(r)
		default:
			out = append(out, r)
		}
	}
	return out
}

// FinishCommit releases the effects of a stored commit: job states become
// visible to callers, and start orders and acknowledgements are returned as
// messages by node. Start orders need mayOrder and the session under which they
// were claimed; a claim without them is removed, since no worker has received
// it.
func (sc *Scheduler) FinishCommit(c *Commit, mayOrder bool) map[string]*link.OwnerMessage {
	out := map[string]*link.OwnerMessage{}
	for j, s := range c.jobStates {
		if j.reportedState != Cancelled {
			j.reportedState = s
		}
		if s.isFinal() && !j.endStored && !c.refusedJobs[j] {
			if sc.now.Sub(j.endedAt) > maxEndDelay {
				// The stored time of the end is too early for the retention.
				sc.markChanged(j)
			}
			j.endStored, j.endedAt = true, sc.now
		}
	}
	for w, n := range c.acks {
		if w.lifeEnded {
			// Ends are numbered from 1 in each life of a worker.
			continue
		}
		if n > w.ackedEnd {
			w.ackedEnd = n
		}
		if w.token != 0 {
			messageFor(out, w).Acked = w.ackedEnd
		}
	}
	for _, r := range sc.orderClaims(c.claimedRuns, mayOrder) {
		w, t := r.worker, r.task
		r.ordered, r.started = true, sc.now
		messageFor(out, w).Starts = append(messageFor(out, w).Starts, spar.StartOrder{
			Task: t.ref(), Run: r.number, Spec: t.step.job.Spec, Checkpoint: t.checkpoint,
			Ticket: t.step.advice.permits[w.info.Life.ID].ticket, Room: w.room,
		})
	}
	return out
}

// StopAndPaceMessages returns and clears the pending stop and pace orders, as
// messages by node. These need not be stored first. A stop may name a run that
// is claimed and not yet ordered; FinishCommit then removes the claim.
func (sc *Scheduler) StopAndPaceMessages() map[string]*link.OwnerMessage {
	out := map[string]*link.OwnerMessage{}
	for r := range sc.pendingStops {
		w := r.worker
		if w.token == 0 {
			// The stop is ordered again when the next session lists the run.
			continue
		}
		m := messageFor(out, w)
		m.Stops = append(m.Stops, link.Stop{Task: r.task.ref(), Run: r.number})
	}
	for r := range sc.pendingPaces {
		if w := r.worker; w.token != 0 && w.listed {
			m := messageFor(out, w)
			m.Paces = append(m.Paces, link.Pace{Task: r.task.ref(), Run: r.number, Percent: r.pace})
		}
	}
	sc.pendingStops, sc.pendingPaces = map[*run]bool{}, map[*run]bool{}
	return out
}

// outcomeTimeout is how long the outcome of a start order may take. After that
// the owner closes the session, and the listing of the next one shows whether
// the run exists.
const outcomeTimeout = 6 * time.Second

// OverdueNodes returns the nodes with a start order whose outcome is overdue.
func (sc *Scheduler) OverdueNodes(now time.Time) []string {
	var out []string
	for _, w := range sc.workers {
		for r := range w.runs {
			if w.token != 0 && w.listed && r.ordered && !r.confirmed && r.strayUntil.IsZero() && r.token == w.token && now.Sub(r.started) > outcomeTimeout {
				sc.onEvent(Event{Name: "outcome overdue", Task: r.task.ref().String(), Run: r.number, Node: w.node})
				out = append(out, w.node)
				break
			}
		}
	}
	return out
}

// messageFor returns the message for a worker's node, created if missing.
func messageFor(messages map[string]*link.OwnerMessage, w *worker) *link.OwnerMessage {
	if messages[w.node] == nil {
		messages[w.node] = &link.OwnerMessage{}
	}
	return messages[w.node]
}

// EncodeJob returns the stored form of a submitted job.
func EncodeJob(j spar.Job) []byte {
	out, err := msgpack.Marshal(&j)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encode job %s", j.ID))
	}
	return out
}

// DecodeJob reads the stored form of a submitted job. It rejects a job that an
// entry should not have accepted, which may come from another build.
func DecodeJob(value []byte) (spar.Job, error) {
	j, err := codec.Decode[spar.Job](value)
	if err != nil {
		return j, errors.Wrap(err, "decode submitted job")
	}
	return j, errors.Wrapf(j.Check(), "stored job %s", j.ID)
}
