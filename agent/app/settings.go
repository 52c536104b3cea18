package app

import (
	"github.com/berylspar/spar"
	"github.com/berylspar/spar/common"
	"github.com/berylspar/spar/conf"
	"github.com/berylspar/spar/lease"
	"github.com/cockroachdb/errors"
)

// Settings of an agent.
type Settings struct {
	common.Settings
	// Worker is the name of the worker.
	Worker string `json:"worker" jsonschema:"minLength=1,maxLength=64,description=name of the worker"`
	// Domain is the failure domain of the worker.
	Domain string `json:"domain" jsonschema:"minLength=1,maxLength=64,description=failure domain of the worker"`
	// Rack is the rack of the worker.
	Rack string `json:"rack" jsonschema:"maxLength=64,description=rack of the worker"`
	// Service is the service that the backend server provides.
	Service string `json:"service" jsonschema:"maxLength=64,description=service of the backend server"`
	// Listen is the address to which entries send requests.
	Listen string `json:"listen" jsonschema:"minLength=1,description=address that entries send requests to"`
	// Control is the address to which entries send commands.
	Control string `json:"control" jsonschema:"minLength=1,description=address that entries send commands to"`
	// Reach is the address at which entries reach Listen, if it differs.
	Reach string `json:"reach" jsonschema:"description=address at which entries reach listen (empty: the same)"`
	// ReachControl is the address at which entries reach Control, if it differs.
	ReachControl string `json:"reach_control" jsonschema:"description=address at which entries reach control (empty: the same)"`
	// Platform is the base address of the worker API.
	Platform string `json:"platform" jsonschema:"minLength=1,description=base address of the worker API"`
	// Backend is the address of the backend server.
	Backend string `json:"backend" jsonschema:"description=address of the backend server"`
	// Entries are the control addresses of the first entries to contact.
	Entries []string `json:"entries" jsonschema:"description=control addresses of some entries"`
	// Size is the share of the worker that batch tasks may use.
	Size spar.Size `json:"size" jsonschema:"description=what batch tasks may use of the worker"`
	// Slots is the number of requests that the backend serves concurrently.
	Slots int `json:"slots" jsonschema:"minimum=1,maximum=10000,description=requests that the backend serves at once"`
	// Connections is the maximum number of connections to the backend.
	Connections int `json:"connections" jsonschema:"minimum=1,maximum=65535,description=most connections to the backend"`
	// Queue is the maximum number of requests that wait for a slot.
	Queue int `json:"queue" jsonschema:"minimum=0,maximum=100000,description=most requests that wait for a slot"`
	// RenewMS is the interval between lease renewals.
	RenewMS int64 `json:"renew_ms" jsonschema:"minimum=50,maximum=10000,description=time between two renewals of the lease in ms"`
	// Throttle enables throttling and evicting batch tasks that hurt the
	// service.
	Throttle bool `json:"throttle" jsonschema:"description=throttle and evict batch tasks that hurt the service"`
	// Terms are the lease durations. They must be the same in all daemons.
	Terms lease.Terms `json:"terms" jsonschema:"description=times of leases; the same in all daemons"`
}

// DefaultSettings returns settings for a worker with 16 processors.
func DefaultSettings() Settings {
	return Settings{
		Settings: common.DefaultSettings(), Worker: "worker-1", Domain: "domain-1",
		Listen: "127.0.0.1:8100", Control: "127.0.0.1:9100", Platform: "http://127.0.0.1:7000",
		Backend: "127.0.0.1:8200", Entries: []string{"127.0.0.1:9000"},
		Size: spar.Size{CPUMilli: 12000, MemoryMB: 49152}, Slots: 8, Connections: 64, Queue: 64,
		RenewMS: 500, Throttle: true, Terms: lease.DefaultTerms(),
	}
}

// check validates constraints between settings: several renewals must fit into
// the lease and into the age limit of the configuration, so that one that fails
// can be repeated in time.
func check(s Settings) error {
	if s.RenewMS*3 > s.Terms.LeaseMS {
		return errors.Mark(errors.Newf("renew_ms: %d is more than a third of terms.lease_ms, which is %d", s.RenewMS, s.Terms.LeaseMS), conf.ErrInvalid)
	}
	if s.RenewMS*2 > s.Terms.StartMS {
		return errors.Mark(errors.Newf("renew_ms: %d is more than half of terms.start_ms, which is %d", s.RenewMS, s.Terms.StartMS), conf.ErrInvalid)
	}
	return nil
}
