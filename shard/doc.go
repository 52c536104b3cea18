// Package shard schedules the jobs of one shard: it decides which worker runs
// which task, how the end of a run changes its job, and what must be stored
// before a decision takes effect. It does no I/O and reads no clock. One owner
// at a time schedules a shard.
package shard
