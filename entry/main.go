// Command entry is a thin instance behind the platform's balancer: it serves
// callers, plans batch work, and renews the leases of agents.
package main

import (
	"os"

	"github.com/berylspar/spar/entry/app"
	"github.com/berylspar/spar/entry/batch"
)

func main() {
	if len(os.Args) > 1 && os.Args[1] == "batch" {
		os.Exit(batch.Main(os.Args[2:], os.Stdout, os.Stderr))
	}
	os.Exit(app.Main(os.Args[1:], os.Stdout, os.Stderr))
}
