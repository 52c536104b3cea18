// Package owner elects the one entry that owns the shard. The elected entry
// restores the stored state, schedules with package shard, stores its decisions
// and then sends orders to the agents. The package also submits, cancels and
// queries jobs on any entry, over HTTP to another entry where needed.
package owner
