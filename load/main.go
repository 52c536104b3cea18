// Command load sends requests at a fixed rate and reports the latency that
// callers see, including the time that requests wait to be sent.
package main

import (
	"os"

	"github.com/berylspar/spar/load/app"
)

func main() { os.Exit(app.Main(os.Args[1:], os.Stdout, os.Stderr)) }
