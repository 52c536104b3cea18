// Command agent runs beside one backend server. It keeps the ledger of its
// worker's resources, runs batch tasks, and forwards requests to the backend.
package main

import (
	"os"

	"github.com/berylspar/spar/agent/app"
	"github.com/berylspar/spar/agent/batch"
)

func main() {
	if len(os.Args) > 1 && os.Args[1] == "batch" {
		os.Exit(batch.Main(os.Args[2:], os.Stdout, os.Stderr))
	}
	os.Exit(app.Main(os.Args[1:], os.Stdout, os.Stderr))
}
