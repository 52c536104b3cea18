package exec

import "context"

// slots bounds the calls of one kind in flight.
type slots chan struct{}

// acquire waits for a slot. It returns false if the context has ended.
func (c slots) acquire(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case c <- struct{}{}:
	}
	if ctx.Err() != nil {
		c.release()
		return false
	}
	return true
}

func (c slots) release() { <-c }
