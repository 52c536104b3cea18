// Package shard decides for the jobs of one shard: which task runs where, what
// an end means, what is to be stored before it may take effect. It is pure: it
// reads no clock and no network, and one owner at a time calls it.
package shard
