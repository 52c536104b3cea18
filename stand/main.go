// Command stand takes the place of the platform and of the backend servers in
// tests and in the try-out. It keeps everything in memory.
package main

import (
	"os"

	"github.com/berylspar/spar/stand/app"
)

func main() { os.Exit(app.Main(os.Args[1:], os.Stdout, os.Stderr)) }
