package fleet

import "sync/atomic"

// Revision is a configuration with its revision number.
type Revision struct {
	Configuration
	// Number counts the configurations accepted on the log; 0 means none.
	Number int64
}

// Holder holds the newest known revision. Readers take no lock. The zero value
// holds none.
type Holder struct {
	p atomic.Pointer[Revision]
}

var noRevision = &Revision{}

// Load returns the newest revision, which must not be modified. Without one, its
// Number is 0.
func (h *Holder) Load() *Revision {
	if r := h.p.Load(); r != nil {
		return r
	}
	return noRevision
}

// StoreIfNewer stores a revision if its number is higher than that of the held
// one, and reports whether it did.
func (h *Holder) StoreIfNewer(r *Revision) bool {
	for {
		old := h.p.Load()
		if old != nil && r.Number <= old.Number {
			return false
		}
		if h.p.CompareAndSwap(old, r) {
			return true
		}
	}
}
