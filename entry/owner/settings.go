package owner

import (
	"cmp"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/shard"
	"github.com/berylspar/spar/triage"
	"github.com/cockroachdb/errors"
)

// Settings of the election and of the owner.
type Settings struct {
	// Partitions is the number of partitions of the store's topics. The owner
	// is the group member that holds the last one, since members that make room
	// for a newcomer give up their first ones.
	Partitions int `json:"partitions" jsonschema:"minimum=1,maximum=10000,description=number of partitions of the store's topics"`
	// TTLMS is how long a member stays in the group without another join.
	TTLMS int64 `json:"ttl_ms" jsonschema:"minimum=1000,maximum=30000,description=time after which a silent owner is replaced in ms"`
	// LeastTTLMS is the shortest TTL that the store accepts; a shorter TTLMS is
	// raised to it.
	LeastTTLMS int64 `json:"least_ttl_ms" jsonschema:"minimum=0,maximum=30000,description=shortest time after which the store takes a member for silent in ms"`
	// JoinMS is the interval at which a member joins again to renew its term.
	JoinMS int64 `json:"join_ms" jsonschema:"minimum=50,maximum=10000,description=interval at which an owner renews its term in ms"`
	// LeaseMS is the length of the leases that are granted to agents.
	LeaseMS int64 `json:"lease_ms" jsonschema:"minimum=500,maximum=60000,description=time for which a worker may run on after its agent last heard from the owner in ms"`
	// MaxLeaseMS is the longest lease that workers accept.
	MaxLeaseMS int64 `json:"max_lease_ms" jsonschema:"minimum=500,maximum=600000,description=longest lease that workers accept in ms"`
	// GraceMS is how long an owner that cannot renew its term still grants
	// leases after the term has expired.
	GraceMS int64 `json:"grace_ms" jsonschema:"minimum=0,maximum=60000,description=time for which an owner that cannot renew its term still grants leases in ms"`
	// RecordBytes is the largest record that the store accepts, and CallBytes the
	// largest append.
	RecordBytes int `json:"record_bytes" jsonschema:"minimum=4096,maximum=16777216,description=largest record that the store accepts in bytes"`
	CallBytes   int `json:"call_bytes" jsonschema:"minimum=4096,maximum=67108864,description=largest append that the store accepts in bytes"`
	// KeepMS is how long an ended job can still be queried.
	KeepMS int64 `json:"keep_ms" jsonschema:"minimum=1000,maximum=86400000,description=time for which an ended job stays readable in ms"`
	// JobMemoryMB is the memory that the owner has for jobs.
	JobMemoryMB int `json:"job_memory_mb" jsonschema:"minimum=0,maximum=1048576,description=memory that the owner has for jobs in MB; jobs beyond it are refused (0: a quarter of limits.memory_mb)"`
	// Admission tells whether jobs are refused when there is too little room.
	Admission AdmissionSettings `json:"admission" jsonschema:"description=whether jobs are refused when there is too little room"`
	// Order decides which jobs get room first where there is too little for all.
	Order triage.Policy `json:"order" jsonschema:"enum=least-work,enum=value,description=order in which jobs get room where there is too little"`
	// FillHarm is for how many task-seconds a core-second of a fill may bring serving
	// tasks over their targets; 0 has fills keep to slack budgets alone.
	FillHarm float64 `json:"fill_harm" jsonschema:"minimum=0,maximum=10,description=task-seconds for which a core-second of a fill may bring serving tasks over their targets; 0 leaves it to slack budgets"`
}

// DefaultSettings returns settings for a store that answers within a few
// milliseconds.
func DefaultSettings() Settings {
	return Settings{Partitions: 1, TTLMS: 1000, JoinMS: 250, LeaseMS: 5000, MaxLeaseMS: 10_000, GraceMS: 5000, RecordBytes: 256 << 10, CallBytes: 2 << 20, KeepMS: 150_000, Admission: DefaultAdmissionSettings(), Order: triage.LeastWork}
}

// ownerPartition is the partition whose holder is the owner.
func (s Settings) ownerPartition() int { return max(s.Partitions, 1) - 1 }

const (
	// recordOverhead is what a record takes beside its value: its key, which the
	// store limits to 255 bytes, and the lengths of both.
	recordOverhead = 260
	// maxAppendBytes bounds one append, so that a large commit does not hold up the
	// others of its topic for long.
	maxAppendBytes = 512 << 10
)

// valueBytes is the largest value of a record.
func (s Settings) valueBytes() int {
	return cmp.Or(s.RecordBytes, DefaultSettings().RecordBytes) - recordOverhead
}

// checkValue returns an error if the store refuses a record for the size of its value.
func (s Settings) checkValue(r spar.Record) error {
	if len(r.Value) <= s.valueBytes() {
		return nil
	}
	err := errors.Newf("%d bytes when stored, at most %d", len(r.Value), s.valueBytes())
	return errors.Mark(errors.Mark(err, spar.ErrInvalid), spar.ErrRefused)
}

// appendBytes is the largest append of several records.
func (s Settings) appendBytes() int {
	return min(cmp.Or(s.CallBytes, DefaultSettings().CallBytes), maxAppendBytes)
}

// jobMemory is the memory that the owner has for jobs in bytes.
func (s Settings) jobMemory() int64 { return cmp.Or(int64(s.JobMemoryMB)<<20, shard.DefaultHoldBytes) }

func (s Settings) ttl() time.Duration {
	return time.Duration(max(s.TTLMS, s.LeastTTLMS)) * time.Millisecond
}
func (s Settings) join() time.Duration     { return time.Duration(s.JoinMS) * time.Millisecond }
func (s Settings) lease() time.Duration    { return time.Duration(s.LeaseMS) * time.Millisecond }
func (s Settings) grace() time.Duration    { return time.Duration(s.GraceMS) * time.Millisecond }
func (s Settings) maxLease() time.Duration { return time.Duration(s.MaxLeaseMS) * time.Millisecond }
func (s Settings) keep() time.Duration     { return time.Duration(s.KeepMS) * time.Millisecond }
