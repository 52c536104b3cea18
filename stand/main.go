// Command stand is a stand-in for the platform and the backend servers in tests
// and in the try-out. It keeps all data in memory.
package main

import (
	"os"

	"github.com/berylspar/spar/stand/app"
)

func main() { os.Exit(app.Main(os.Args[1:], os.Stdout, os.Stderr)) }
