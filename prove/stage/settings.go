package stage

import "maps"

// The fraction of a worker's size that batch work may use.
const (
	batchShareNumerator   = 3
	batchShareDenominator = 4
)

func (s *Stage) standInSettings() map[string]any {
	var workers []map[string]any
	for _, a := range s.agents {
		workers = append(workers, map[string]any{
			"name": a.Worker, "domain": a.Domain, "backend": a.Backend,
			"cpu_milli": s.plan.Processors * 1000, "memory_mb": s.plan.MemoryMB,
		})
	}
	return map[string]any{
		"listen": s.platform, "appends_per_second": s.plan.AppendsPerSecond, "retain_ms": s.plan.RetainMS,
		"service_us": s.plan.ServiceUS, "slots": s.plan.Slots, "workers": workers,
	}
}

func (s *Stage) entrySettings(e *Entry) map[string]any {
	var peers []string
	for _, peer := range s.entries {
		if peer != e {
			peers = append(peers, s.dialAddress(e.Name, peer.Name, peer.Control))
		}
	}
	settings := map[string]any{
		"name": e.Name, "domain": e.Domain, "listen": e.Listen, "control": e.Control, "admin": e.Admin,
		"platform": "http://" + s.dialAddress(e.Name, "log", s.platform), "grace_ms": 300,
	}
	if s.plan.DialAddress != nil {
		settings["reach_control"] = s.dialAddress("any", e.Name, e.Control)
	}
	if len(peers) > 0 {
		settings["peers"] = peers
	}
	maps.Copy(settings, s.plan.EntryOverrides)
	return settings
}

func (s *Stage) agentSettings(a *Agent) map[string]any {
	var entries []string
	for _, e := range s.entries {
		entries = append(entries, s.dialAddress(a.Worker, e.Name, e.Control))
	}
	settings := map[string]any{
		"worker": a.Worker, "domain": a.Domain, "service": s.plan.Service, "listen": a.Listen, "control": a.Control,
		"admin": a.Admin, "platform": "http://" + s.dialAddress(a.Worker, "platform", s.platform), "backend": s.dialAddress(a.Worker, "backend", a.Backend),
		"entries": entries, "slots": s.plan.Slots,
		"size": map[string]any{
			"cpu_milli": s.plan.Processors * 1000 * batchShareNumerator / batchShareDenominator,
			"memory_mb": s.plan.MemoryMB * batchShareNumerator / batchShareDenominator,
		},
	}
	if s.plan.DialAddress != nil {
		settings["reach"] = s.dialAddress("any", a.Worker+"-requests", a.Listen)
		settings["reach_control"] = s.dialAddress("any", a.Worker, a.Control)
	}
	maps.Copy(settings, s.plan.AgentOverrides)
	return settings
}
