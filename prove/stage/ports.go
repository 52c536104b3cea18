package stage

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// The ports of deployments. They are below the system's ephemeral port range,
// so that no proxy or outgoing connection takes one between the check that it
// is free and its use.
const (
	basePort      = 12_000
	portBlocks    = 40
	portsPerBlock = 450
)

var nextPort atomic.Int64

// FreePorts returns n loopback addresses with ports that are not in use.
// Concurrent deployments of one process get different ports.
func FreePorts(n int) ([]string, error) {
	base := basePort + os.Getpid()%portBlocks*portsPerBlock
	var addresses []string
	for range portsPerBlock * portBlocks {
		port := base + int(nextPort.Add(1))%portsPerBlock
		address := fmt.Sprintf("127.0.0.1:%d", port)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		listener.Close()
		addresses = append(addresses, address)
		if len(addresses) == n {
			return addresses, nil
		}
	}
	return nil, errors.Newf("could not find %d free ports from port %d on", n, base)
}
