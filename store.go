package spar

import (
	"context"
	"time"
)

// Store is the platform's partitioned log with compacted topics and consumer
// groups. Its answers are linearizable. Every call ends with its context or
// with the implementation's own deadline, whichever comes first. Errors are
// ErrRefused (surely not done), ErrUnknown (no answer: done, or still to be
// done), or one of the errors that a method names.
type Store interface {
	// Append writes records to a compacted topic, all or none, and returns the
	// offset of the first. With a producer it also fails with ErrFenced when a
	// higher epoch has been seen and with ErrSequence when the sequence number
	// is not the next one. A repeated producer sequence is appended once.
	Append(ctx context.Context, topic string, p *Producer, records []Record) (int64, error)
	// Follow returns the records of a compacted topic from an offset on, and
	// waits up to wait for the first. It fails with ErrGone when the records
	// have been dropped.
	Follow(ctx context.Context, topic string, from int64, wait time.Duration) (Batch, error)
	// Newest returns the newest record of each key. Next is the offset to
	// follow from, so that nothing is missed; records may be seen twice.
	Newest(ctx context.Context, topic string) (Batch, error)
	// Join enters a consumer group or stays in it.
	Join(ctx context.Context, m Member) (Membership, error)
	// Leave gives up the member's partitions at once.
	Leave(ctx context.Context, group, member string) error
}

// Record is one record of a compacted topic. One without a value drops the key.
type Record struct {
	Key   string
	Value []byte
}

// Batch is a run of records.
type Batch struct {
	Records []Record
	// Next is the offset to continue from.
	Next int64
}

// Producer makes appends idempotent and fences older epochs.
type Producer struct {
	Name  string
	Epoch int64
	Seq   int64
}

// Member is a request to be in a consumer group.
type Member struct {
	Group string
	Name  string
	Topic string
	// TTL is how long the member stays without another join.
	TTL time.Duration
	// Generation is the last one received, 0 at first.
	Generation int64
}

// Membership is what a member holds.
type Membership struct {
	// Generation rises with each change of the group.
	Generation int64
	// Partitions are the partitions of the topic that belong to the member.
	Partitions []int
}
