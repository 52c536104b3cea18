package app

import (
	"github.com/berylspar/spar/common"
	"github.com/berylspar/spar/conf"
	"github.com/berylspar/spar/entry/admin"
	"github.com/berylspar/spar/entry/front"
	"github.com/berylspar/spar/entry/watch"
	"github.com/berylspar/spar/lease"
	"github.com/berylspar/spar/tail"
	"github.com/cockroachdb/errors"
)

// Settings are the settings of an entry.
type Settings struct {
	common.Settings
	// Name is the name of the instance.
	Name string `json:"name" jsonschema:"minLength=1,maxLength=64,description=name of the instance"`
	// Domain is the failure domain of the instance.
	Domain string `json:"domain" jsonschema:"minLength=1,maxLength=64,description=failure domain of the instance"`
	// Listen is the address that callers send requests and jobs to.
	Listen string `json:"listen" jsonschema:"minLength=1,description=address that callers send requests and jobs to"`
	// Control is the address that agents and other entries call.
	Control string `json:"control" jsonschema:"minLength=1,description=address that agents and other entries call"`
	// ReachControl is the address at which others reach Control, if it differs.
	ReachControl string `json:"reach_control" jsonschema:"description=address at which others reach control (empty: the same)"`
	// Platform is the base address of the log.
	Platform string `json:"platform" jsonschema:"minLength=1,description=base address of the log"`
	// Peers are control addresses to take a snapshot from at the start.
	Peers []string `json:"peers" jsonschema:"description=control addresses of entries to take a snapshot from at the start"`
	// GraceMS is the time for which requests are still accepted after readiness
	// is withdrawn.
	GraceMS int64 `json:"grace_ms" jsonschema:"minimum=0,maximum=60000,description=time that requests are still taken after readiness went off in ms"`
	// TeamKeys are the secrets that authenticate teams.
	TeamKeys []admin.TeamKey `json:"team_keys" jsonschema:"description=secrets that teams prove themselves with; a team without one is open to all"`
	// Front holds the settings of request forwarding.
	Front front.Settings `json:"front" jsonschema:"description=the way of requests"`
	// Log holds the settings for reading and appending to the log.
	Log tail.Settings `json:"log" jsonschema:"description=how the log is read and appended to"`
	// Watch holds the time limits for processes that are not heard of.
	Watch watch.Settings `json:"watch" jsonschema:"description=limits of patience with silent processes"`
	// Terms are the durations of leases, the same in all daemons.
	Terms lease.Terms `json:"terms" jsonschema:"description=times of leases; the same in all daemons"`
}

// DefaultSettings returns the settings for one instance on a developer's machine.
func DefaultSettings() Settings {
	return Settings{
		Settings: common.DefaultSettings(), Name: "entry-1", Domain: "domain-1",
		Listen: "127.0.0.1:8000", Control: "127.0.0.1:9000", Platform: "http://127.0.0.1:7000",
		Peers: []string{}, GraceMS: 1000, TeamKeys: []admin.TeamKey{},
		Front: front.DefaultSettings(), Log: tail.DefaultSettings(), Watch: watch.DefaultSettings(), Terms: lease.DefaultTerms(),
	}
}

// check returns an error if settings contradict each other.
func check(s Settings) error {
	if s.Log.PollMS*2 > s.Terms.FreshMS {
		return errors.Mark(errors.Newf("log.poll_ms: %d is more than half of terms.fresh_ms, which is %d", s.Log.PollMS, s.Terms.FreshMS), conf.ErrInvalid)
	}
	if s.Watch.KeepMS <= s.Terms.HearsayMS+s.Terms.FreshMS {
		return errors.Mark(errors.Newf("watch.keep_ms: %d must be above terms.hearsay_ms plus terms.fresh_ms, which are %d", s.Watch.KeepMS, s.Terms.HearsayMS+s.Terms.FreshMS), conf.ErrInvalid)
	}
	return nil
}
