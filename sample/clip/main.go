// Command clip prints the configuration of a scaffold clip return: gate
// check-ins that trucks wait on, nightly audits, and yard watches.
package main

import (
	"fmt"
	"os"

	"github.com/berylspar/spar/fleet"
)

// configuration declares the deployment.
func configuration() fleet.Configuration {
	return fleet.Configuration{
		Domains: []fleet.Domain{
			{Name: "savannah", Region: "east"},
			{Name: "augusta", Region: "east"},
			{Name: "statesboro", Region: "east"},
			{Name: "waycross", Region: "east"},
		},
		Services: []fleet.Service{{Name: "returns", TargetMS: 30}},
		Teams: []fleet.Team{
			{Name: "audit", Quota: fleet.Size(480, 1920, 0)},
			{Name: "yard", Quota: fleet.Size(96, 384, 0)},
		},
		Kinds: []fleet.Kind{
			{Name: "audit", Team: "audit", Tasks: 16, Size: fleet.Size(8, 32, 0), RunMS: 10_000, Repeatable: true},
			{Name: "yard-watch", Team: "yard", Tasks: 4, Size: fleet.Size(2, 4, 0), RunMS: 30_000},
		},
	}
}

func main() {
	out, err := configuration().Print()
	if err != nil {
		fmt.Fprintln(os.Stderr, "clip:", err)
		os.Exit(1)
	}
	os.Stdout.Write(out)
}
