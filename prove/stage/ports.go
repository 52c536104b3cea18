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
	firstPort  = 12_000
	portBlocks = 40
	blockSize  = 450
)

var nextPort atomic.Int64

// FreePorts returns addresses on the loopback interface that nobody listens on.
// Deployments of one process never share one.
func FreePorts(n int) ([]string, error) {
	base := firstPort + os.Getpid()%portBlocks*blockSize
	var out []string
	for range blockSize * portBlocks {
		port := base + int(nextPort.Add(1))%blockSize
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
