package guard

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// acceptPause is the pause after a connection could not be accepted for want of a
// descriptor or of memory.
const acceptPause = 20 * time.Millisecond

// Listener accepts connections that its guard accounts for.
type Listener struct {
	net.Listener
	guard *Guard
	kind  Kind
}

// Listen wraps a listener for clients of a kind.
func (g *Guard) Listen(l net.Listener, k Kind) *Listener {
	return &Listener{Listener: l, guard: g, kind: k}
}

// Accept returns the next connection, a *Conn, that there is room for. When the process
// has no descriptors left, it closes connections and goes on.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if isShortage(err) {
			l.guard.makeRoom()
			time.Sleep(acceptPause)
			continue
		}
		if err != nil {
			return nil, err
		}
		if c := l.guard.add(nc, l.kind); c != nil {
			return c, nil
		}
	}
}

func isShortage(err error) bool {
	for _, e := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}
