package stage

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// The ports of deployments. They lie below those that the system hands out to
// connections, so that neither a proxy nor a caller takes one in between.
const (
	basePort  = 12_000
	portBlocks = 40
	portsPerBlock  = 450
)

var nextPort atomic.Int64

// FreePorts returns addresses on the loopback interface that nobody listens on.
// Deployments of one process never share one.
func FreePorts(n int) ([]string, error) {
	base := basePort + os.Getpid()%portBlocks*portsPerBlock
	var out []string
	for range portsPerBlock * portBlocks {
		port := base + int(nextPort.Add(1))%portsPerBlock
		address := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		l.Close()
		out = append(out, address)
		if len(out) == n {
			return out, nil
		}
	}
	return nil, errors.Newf("no %d free ports from %d on", n, base)
}
