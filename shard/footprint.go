package shard

import (
	"cmp"
	"fmt"

	"github.com/berylspar/spar"
)

// Memory that the parts of a job take, in bytes. Those of a step include its place in the
// queue of a planning pass.
const (
	jobFootprint         = 2 << 10
	endedFootprint       = 1 << 10
	cancelFootprint      = 256
	declarationFootprint = 256
	dependencyFootprint  = 16
	occurrenceFootprint  = 256
	stepFootprint        = 512
	taskFootprint        = 320
)

// DefaultHoldBytes is the memory for jobs if Limits does not tell.
const DefaultHoldBytes = 64 << 20

const (
	// largeJobFraction is the fraction of the memory for jobs from which a job is large.
	// Large jobs leave a part to the others, by largeJobsShare.
	largeJobFraction = 64
	// largeJobsShare is the share of the memory for jobs, in percent, up to which large
	// jobs are accepted, and extraShare that up to which a scheduled job may hold more
	// than one of its occurrences.
	largeJobsShare, extraShare = 75, 50
)

// footprint is the memory that a job takes: base beside its tasks, and occurrence for
// the tasks of each occurrence that is held.
type footprint struct{ base, occurrence int64 }

func footprintOf(j *spar.Job) footprint {
	f := footprint{base: jobFootprint + int64(len(j.Spec)) + int64(j.Times)/8, occurrence: occurrenceFootprint}
	for i := range j.Steps {
		s := &j.Steps[i]
		f.base += declarationFootprint + int64(len(s.After))*dependencyFootprint + int64(len(s.Label)+len(s.Rack)+len(s.Image))
		f.occurrence += stepFootprint + int64(s.Count)*taskFootprint
	}
	return f
}

// least is the memory that the job takes at least until it has ended: with one occurrence.
func (f footprint) least() int64 { return f.base + f.occurrence }

// LeastFootprint returns the memory in bytes that an owner needs to make progress with a job.
func LeastFootprint(j *spar.Job) int64 { return footprintOf(j).least() }

// Room is the memory that an owner has for jobs.
type Room struct {
	// Capacity is all of it, and Held what the accepted jobs need, in bytes.
	Capacity int64 `json:"capacity"`
	Held     int64 `json:"held"`
}

// FreeFor returns the part of the room, in bytes, in which a job with a footprint can be
// accepted. Large jobs leave some to the others.
func (r Room) FreeFor(need int64) int64 {
	if need > r.Capacity/largeJobFraction {
		return r.Capacity*largeJobsShare/100 - r.Held
	}
	return r.Capacity - r.Held
}

func (r Room) String() string { return fmt.Sprintf("%d of %d bytes held", r.Held, r.Capacity) }

// Fits reports whether a job with a footprint can be accepted.
func (r Room) Fits(need int64) bool { return need <= r.FreeFor(need) }

func (l Limits) holdBytes() int64 { return cmp.Or(l.HoldBytes, DefaultHoldBytes) }

// Room returns the memory for jobs. Held counts each job that has not ended with one
// occurrence at least, so that all that are accepted can make progress.
func (sc *Scheduler) Room() Room {
	return Room{Capacity: sc.limits.holdBytes(), Held: sc.needed + int64(len(sc.earlyCancels)+len(sc.expiredCancels))*cancelFootprint}
}

// memory is what counts for a job: needed is the memory that it needs to make progress,
// and held what it takes now.
type memory struct {
	footprint
	needed, held int64
}

// charge updates the memory that counts for a job.
func (sc *Scheduler) charge(j *job) {
	held := j.base + int64(len(j.occurrences))*j.occurrence
	needed := held
	if len(j.occurrences) == 0 && !j.hasEnded() {
		needed += j.occurrence
	}
	sc.addMemory(j, needed, held)
}

func (sc *Scheduler) addMemory(j *job, needed, held int64) {
	sc.needed += needed - j.needed
	sc.held += held - j.held
	j.needed, j.held = needed, held
}
