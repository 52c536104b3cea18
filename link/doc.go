// Package link carries messages between an agent and the owner of a shard. They
// are sent as length-prefixed msgpack frames over one TCP connection, with a
// deadline for each write. The package does not interpret the messages.
package link
