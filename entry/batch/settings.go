package batch

import (
	"time"

	"github.com/berylspar/spar/common"
	"github.com/berylspar/spar/conf"
	"github.com/berylspar/spar/entry/owner"
	"github.com/cockroachdb/errors"
)

// Settings of an entry that serves batch work.
type Settings struct {
	common.Settings
	// Name is the name of the instance.
	Name string `json:"name" jsonschema:"minLength=1,maxLength=64,description=name of the instance"`
	// Domain is the failure domain of the instance.
	Domain string `json:"domain" jsonschema:"minLength=1,maxLength=64,description=failure domain of the instance"`
	// Listen is where callers send jobs.
	Listen string `json:"listen" jsonschema:"minLength=1,description=address that callers send jobs to"`
	// Ready is the address of the balancer's health check.
	Ready string `json:"ready" jsonschema:"minLength=1,description=address of the balancer's health check"`
	// Agents is where agents connect to the owner.
	Agents string `json:"agents" jsonschema:"minLength=1,description=address that agents connect to"`
	// ReachAgents is the address at which agents reach this entry, if it differs
	// from Agents.
	ReachAgents string `json:"reach_agents" jsonschema:"description=address at which agents reach this entry (empty: the same as agents)"`
	// Store is the address of the platform's store.
	Store string `json:"store" jsonschema:"minLength=1,description=address of the platform's store"`
	// Adviser is the address of the placement adviser.
	Adviser string `json:"adviser" jsonschema:"description=address of the placement adviser (empty: jobs of queues that need advice are refused)"`
	// GraceMS is how long callers are still served after a stop signal.
	GraceMS int64 `json:"grace_ms" jsonschema:"minimum=0,maximum=60000,description=time that callers are still served after a stop was ordered in ms"`
	// Owner holds the times of the election and of leases.
	Owner owner.Settings `json:"owner" jsonschema:"description=times of the election and of leases"`
}

// DefaultSettings returns settings for one instance on a developer's machine.
func DefaultSettings() Settings {
	return Settings{
		Settings: common.DefaultSettings(), Name: "entry-1", Domain: "domain-1",
		Listen: "127.0.0.1:8000", Ready: "127.0.0.1:8001", Agents: "127.0.0.1:9000",
		Store: "127.0.0.1:7000", GraceMS: 3500, Owner: owner.DefaultSettings(),
	}
}

// jobMemoryFraction is the fraction of the memory that an owner has for jobs. Clients take a
// third, and the heap twice what is live.
const jobMemoryFraction = 4

// owner returns the settings of the owner, with those that are derived.
func (s Settings) owner() owner.Settings {
	o := s.Owner
	if o.JobMemoryMB == 0 {
		o.JobMemoryMB = int(s.Limits.MemoryBytes()>>20) / jobMemoryFraction
	}
	return o
}

func (s Settings) grace() time.Duration { return time.Duration(s.GraceMS) * time.Millisecond }

// check returns an error if settings contradict each other.
func check(s Settings) error {
	if s.Owner.JoinMS*3 > s.Owner.TTLMS {
		return errors.Mark(errors.Newf("owner.join_ms: %d is more than a third of owner.ttl_ms, which is %d", s.Owner.JoinMS, s.Owner.TTLMS), conf.ErrInvalid)
	}
	if s.Owner.LeaseMS > s.Owner.MaxLeaseMS {
		return errors.Mark(errors.Newf("owner.lease_ms: %d is more than owner.max_lease_ms, which is %d", s.Owner.LeaseMS, s.Owner.MaxLeaseMS), conf.ErrInvalid)
	}
	if s.Owner.CallBytes < s.Owner.RecordBytes {
		return errors.Mark(errors.Newf("owner.call_bytes: %d is less than owner.record_bytes, which is %d", s.Owner.CallBytes, s.Owner.RecordBytes), conf.ErrInvalid)
	}
	return nil
}
