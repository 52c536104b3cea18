// Command agent runs beside one backend server: it keeps the ledger of its
// worker, runs batch tasks, and forwards requests to the backend.
package main

import (
	"os"

	"github.com/berylspar/spar/agent/app"
)

func main() { os.Exit(app.Main(os.Args[1:], os.Stdout, os.Stderr)) }
