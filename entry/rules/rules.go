// Package rules keeps the configuration that the entry goes by.
package rules

import (
	"github.com/berylspar/spar/common"
	"github.com/berylspar/spar/fleet"
	"github.com/berylspar/spar/fold"
	"github.com/berylspar/spar/tail"
)

// Rules hold the newest configuration. Reading takes no lock.
type Rules struct {
	common.Common
	holder fleet.Holder
}

// NewRules returns rules that follow a tail.
func NewRules(c common.Common, t *tail.Tail) *Rules {
	r := &Rules{Common: c}
	f := t.Config()
	r.take(f.Revision(), f.Body())
	t.Listen(func(_ *fold.State, a tail.Applied) {
		if a.Record.GetConfigure() != nil && a.Outcome.IsValid() {
			r.take(a.Record.GetConfigure().GetBase()+1, a.Record.GetConfigure().GetBody())
		}
	})
	return r
}

func (r *Rules) take(revision int64, body []byte) {
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
