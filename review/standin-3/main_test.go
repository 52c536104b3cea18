// Package standin runs a case of the review: it starts the project's programs with
// stand-ins of the platform and of clients around, and checks one rule. Its sources are test
// files, since only those may know the platform's names.
package standin

import (
	"fmt"
	"os"
	"testing"
)

// cases are the cases by name.
var cases = map[string]func(d *deployment, trouble bool) int{}

// TestMain is the program: standin CASE RECORD.
func TestMain(*testing.M) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD, in the repository root")
		os.Exit(2)
	}
	d := newDeployment(os.Args[2])
	d.end(cases[os.Args[1]](d, os.Getenv("TROUBLE") != "0"))
}
