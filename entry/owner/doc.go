// Package owner elects the one entry that plans the shard and runs it there:
// it reads the stored state, decides by package shard, stores what was decided
// and then orders the agents. It also answers questions about jobs, at the
// owner or by asking it.
package owner
