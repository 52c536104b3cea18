// Command beryl is the operators' command line: it checks and publishes the
// configuration, watches, and explains.
package main

import (
	"os"

	"github.com/berylspar/spar/beryl/app"
)

func main() { os.Exit(app.Main(os.Args[1:], os.Stdout, os.Stderr)) }
