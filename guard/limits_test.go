package guard_test

import (
	"fmt"

	"github.com/berylspar/spar/guard"
)

// The bounds of a small instance of each kind, as docs/Operating.md lists them.
func ExampleLimits() {
	for _, l := range []guard.Limits{{MemoryMB: 184, Descriptors: 4100}, {MemoryMB: 152, Descriptors: 4096}} {
		fmt.Println(l.MemoryMB, "MB:", l.FlightBytes()>>20, "MB for clients, soft limit", l.MemoryLimit()>>20, "MB")
		fmt.Println("connections:", l.MaxConnections(guard.Callers), l.MaxConnections(guard.Agents), l.MaxConnections(guard.Operators), l.MaxConnections(guard.Checks))
		fmt.Println("bodies:", l.MaxBody(1<<20), l.MaxBody(4<<20))
	}
	// Output:
	// 184 MB: 61 MB for clients, soft limit 138 MB
	// connections: 1300 975 487 487
	// bodies: 1048576 4194304
	// 152 MB: 50 MB for clients, soft limit 114 MB
	// connections: 1298 974 487 487
	// bodies: 1048576 4194304
}
