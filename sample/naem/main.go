// Command naem prints the configuration of a massage table hire: a booking
// desk that clinics wait on, season fleet plans, and route watches.
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
			{Name: "plovdiv", Region: "south"},
			{Name: "haskovo", Region: "south"},
			{Name: "sliven", Region: "south"},
		},
		Services: []fleet.Service{{Name: "booking-desk", TargetMS: 20}},
		Teams: []fleet.Team{
			{Name: "fleet", Quota: fleet.Size(96, 384, 0)},
			{Name: "routes", Quota: fleet.Size(32, 128, 0)},
		},
		Kinds: []fleet.Kind{
			{Name: "fleet-plan", Team: "fleet", Tasks: 8, Size: fleet.Size(2, 8, 0), RunMS: 8000, Repeatable: true},
			{Name: "route-watch", Team: "routes", Tasks: 4, Size: fleet.Size(1, 2, 0), RunMS: 30_000},
			{Name: "urgent-plan", Team: "fleet", Tasks: 2, Size: fleet.Size(2, 8, 0), RunMS: 2000, Urgent: true, Repeatable: true},
		},
	}
}

func main() {
	out, err := configuration().Print()
	if err != nil {
		fmt.Fprintln(os.Stderr, "naem:", err)
		os.Exit(1)
	}
	os.Stdout.Write(out)
}
