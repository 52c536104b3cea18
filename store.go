package spar

import (
	"context"
	"time"
)

// Store is the platform's partitioned log with compacted topics and consumer
// groups. It is linearizable. Every call ends with its context or with the
// implementation's own deadline, whichever comes first. Errors are ErrRefused
// (the call had no effect), ErrUnknown (the call may have taken effect or may
// still do so), or one of the errors named by a method.
type Store interface {
	// Append writes records to a compacted topic atomically and returns the
	// offset of the first. With a producer it also fails with ErrFenced when a
	// higher epoch has been seen, and with ErrSequence when the sequence number
	// is not the next one. Repeating an append with the same sequence number
	// does not write the records again.
	Append(ctx context.Context, topic string, p *Producer, records []Record) (int64, error)
	// Follow returns the records of a compacted topic starting at offset from.
	// It waits up to wait for the first one. It fails with ErrGone when the
	// records have been dropped.
	Follow(ctx context.Context, topic string, from int64, wait time.Duration) (Batch, error)
	// Newest returns the newest record of each key. Following the topic from
	// Next misses no record, but may return some again.
	Newest(ctx context.Context, topic string) (Batch, error)
	// Join joins a consumer group, or renews the membership in it.
	Join(ctx context.Context, m Member) (Membership, error)
	// Leave releases the member's partitions immediately.
	Leave(ctx context.Context, group, member string) error
}

// Record is one record of a compacted topic. A record without a value deletes
// the key.
type Record struct {
	Key   string
	Value []byte
}

// Batch is a sequence of consecutive records.
type Batch struct {
	Records []Record
	// Next is the offset to continue reading from.
	Next int64
	// More reports that the topic had records from Next on when it was read.
	More bool
}

// Producer identifies the writer of an append. It makes appends idempotent and
// fences older epochs.
type Producer struct {
	Name  string
	Epoch int64
	Seq   int64
}

// Member is a request to join a consumer group.
type Member struct {
	Group string
	Name  string
	Topic string
	// TTL is how long the membership lasts without another join.
	TTL time.Duration
	// Generation is the last one received, or 0 for the first join.
	Generation int64
}

// Membership is the result of a join.
type Membership struct {
	// Generation increases with each change of the group.
	Generation int64
	// Partitions lists the partitions of the topic assigned to the member.
	Partitions []int
}
