package simul_test

import (
	"fmt"
	"time"

	"github.com/berylspar/spar/codec"
	"github.com/berylspar/spar/link"
)

// maxOwnerAbsence is how long no entry may serve as the owner while nothing disturbs the
// deployment.
const maxOwnerAbsence = time.Second

// ownerRule checks that the owner stays while nothing disturbs the deployment.
type ownerRule struct {
	*simulation
	// epoch is that of the owner since the begin of the calm spell, 0 if there is none.
	epoch int64
	// servedAt is when an entry last served as the owner.
	servedAt time.Time
}

// violations returns how the owner has changed in the calm spell.
func (r *ownerRule) violations(isCalm bool) []string {
	now := time.Now()
	if !isCalm {
		r.epoch, r.servedAt = 0, now
		return nil
	}
	if r.currentOwner() != nil {
		r.servedAt = now
	}
	epoch := r.ownerEpoch()
	if r.epoch == 0 {
		r.epoch = epoch
	}
	switch {
	case epoch != r.epoch:
		return []string{fmt.Sprintf("owner of epoch %d was replaced by that of %d, and nothing was disturbed", r.epoch, epoch)}
	case now.Sub(r.servedAt) > maxOwnerAbsence:
		return []string{fmt.Sprintf("no entry serves as the owner for %s, and nothing was disturbed", now.Sub(r.servedAt))}
	}
	return nil
}

// ownerEpoch returns the epoch of the last owner that has taken over.
func (s *simulation) ownerEpoch() int64 {
	for _, r := range s.store.Newest(link.OwnerTopic).Records {
		if r.Key != link.OwnerKey {
			continue
		}
		e, err := codec.Decode[link.EntryRecord](r.Value)
		if err != nil {
			s.t.Fatal(err)
		}
		return e.Epoch
	}
	return 0
}
