// Command prove brings up a whole deployment of real processes on this machine
// and reports what it does: try, bench and slopes.
package main

import (
	"os"

	"github.com/berylspar/spar/prove/app"
)

func main() { os.Exit(app.Main(os.Args[1:], os.Stdout, os.Stderr)) }
