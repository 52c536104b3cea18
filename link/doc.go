// Package link carries messages between an agent and the owner of a shard:
// length-prefixed msgpack frames over one TCP connection, with a write
// deadline. It knows nothing of what the messages mean.
package link
