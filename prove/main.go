// Command prove starts a whole deployment of real processes on this machine, and
// exercises and measures it.
package main

import (
	"os"

	"github.com/berylspar/spar/prove/app"
)

func main() { os.Exit(app.Main(os.Args[1:], os.Stdout, os.Stderr)) }
