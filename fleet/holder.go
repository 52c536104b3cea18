package fleet

import "sync/atomic"

// Revision is a configuration with its number on the log.
type Revision struct {
	Configuration
	// Number counts the accepted configurations; 0 is none.
	Number int64
}

// Holder keeps the newest revision known. Readers take no lock. The zero value
// holds none.
type Holder struct {
	p atomic.Pointer[Revision]
}

var noRevision = &Revision{}

// Load returns the newest revision; it must not be changed.
func (h *Holder) Load() *Revision {
	if r := h.p.Load(); r != nil {
		return r
	}
	return noRevision
}

// Raise takes in a revision and tells whether it is newer. A lower one never
// replaces a higher one.
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
