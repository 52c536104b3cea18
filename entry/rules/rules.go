// Package rules holds the configuration in force at the entry.
package rules

import (
	"github.com/berylspar/spar/common"
	"github.com/berylspar/spar/fleet"
	"github.com/berylspar/spar/fold"
	"github.com/berylspar/spar/tail"
)

// Rules holds the newest configuration. Reading it takes no lock.
type Rules struct {
	common.Common
	holder fleet.Holder
}

// NewRules returns rules that are updated from a tail.
func NewRules(c common.Common, t *tail.Tail) *Rules {
	r := &Rules{Common: c}
	f := t.Config()
	r.storeRevision(f.Revision(), f.Body())
	t.AddListener(func(_ *fold.State, a tail.Applied) {
		if a.Record.GetConfigure() != nil && a.Outcome.IsValid() {
			r.storeRevision(a.Record.GetConfigure().GetBase()+1, a.Record.GetConfigure().GetBody())
		}
	})
	return r
}

func (r *Rules) storeRevision(revision int64, body []byte) {
	if revision == 0 {
		return
	}
	c, err := fleet.Parse(body)
	if err != nil {
		r.Warn("configuration not readable", "revision", revision, "err", err)
		return
	}
	if r.holder.StoreIfNewer(&fleet.Revision{Configuration: c, Number: revision}) {
		r.Info("configuration in force", "revision", revision)
	}
}

// Load returns the newest configuration.
func (r *Rules) Load() *fleet.Revision { return r.holder.Load() }
