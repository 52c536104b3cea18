// Command beryl is the operators' command line: it checks and publishes the
// configuration, shows the state of the fleet, submits and cancels jobs, and
// explains scheduling decisions.
package main

import (
	"os"

	"github.com/berylspar/spar/beryl/app"
)

func main() { os.Exit(app.Main(os.Args[1:], os.Stdout, os.Stderr)) }
