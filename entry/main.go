// Command entry is a thin instance behind the platform's balancer: it serves
// callers, plans batch work, and renews the leases of agents.
package main

import (
	"os"

	"github.com/berylspar/spar/entry/app"
)

func main() { os.Exit(app.Main(os.Args[1:], os.Stdout, os.Stderr)) }
