// Package lab brings about the cases of a review that can't be written as a day. Its sources are
// test files, since only those may know the platform's names; go test -c builds the program.
package lab

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
)

// scenario brings a case about. It returns what broke the rule, if anything did.
type scenario func(rec *Record, repo string, trouble bool) ([]string, error)

var scenarios = map[string]scenario{
	"late-report": lateReport,
	"reset-leave": resetLeave,
	"crash-gang":  crashGang,
	"wide-gang":   wideGang,
	"late-order":  lateOrder,
}

// TestMain runs the case that the flags name.
func TestMain(*testing.M) {
	name := flag.String("case", "", "name of the case")
	repo := flag.String("repo", ".", "root of the repository")
	out := flag.String("out", ".", "folder for record.txt")
	flag.Parse()
	os.Exit(run(*name, *repo, *out, os.Getenv("TROUBLE") != "0"))
}

// run returns 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
func run(name, repo, out string, trouble bool) int {
	f := scenarios[name]
	if f == nil {
		fmt.Println("no such case:", name)
		return 2
	}
	rec, err := NewRecord(filepath.Join(out, "record.txt"))
	if err != nil {
		fmt.Println(err)
		return 2
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		children.kill()
		os.Exit(2)
	}()
	rec.Log("case %s, with the disruption: %v", name, trouble)
	broken, err := f(rec, repo, trouble)
	switch {
	case err != nil:
		rec.Log("the case couldn't run: %v", err)
		fmt.Println("couldn't run:", err)
		return 2
	case len(broken) > 0:
		for _, b := range broken {
			rec.Log("BROKEN: %s", b)
			fmt.Println("BROKEN:", b)
		}
		return 1
	}
	rec.Log("the rule held")
	fmt.Println("the rule held")
	return 0
}
