package cmds_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/berylspar/spar/beryl/cmds"
)

const entryLog = `panic: say "what" and where
level=info ts=2026-02-27T02:57:41.05Z program=entry name=front-1 msg="job accepted" job=5c0e7a21d94b36f8 queue=plans version=7 unsure=0 took=6ms
level=info ts=2026-02-27T02:57:41.07Z program=entry name=front-1 msg="run claimed" task=5c0e7a21d94b36f8.0.0.1 run=1 node=side-2 reason= epoch=512
level=info ts=2026-02-27T02:57:42.00Z program=entry name=front-1 msg="run claimed" task=ffffffffffffffff.0.0.1 run=1 node=side-3 reason= epoch=512
`

const agentLog = `  12.5 side-2 level=warn ts=2026-02-27T02:57:41.60Z program=agent name=side-2 msg="start not answered" task=5c0e7a21d94b36f8.0.0.1 run=1 err="POST: timeout"
`

func run(t *testing.T, in string, args ...string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	r := cmds.NewRunner(cmds.Target{}, cmds.Streams{In: strings.NewReader(in), Out: &out, Errs: &out})
	err := r.Run(context.Background(), args)
	return out.String(), err
}

func TestWhyMergesAJobsLinesFromSeveralLogs(t *testing.T) {
	file := filepath.Join(t.TempDir(), "side-2.log")
	if err := os.WriteFile(file, []byte(agentLog), 0o600); err != nil {
		t.Fatal(err)
	}
	out, err := run(t, entryLog, "why", "5c0e7a21d94b36f8", "-", file)
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(out), "\n")
	if len(lines) != 3 || !strings.Contains(lines[0], "job accepted") || !strings.Contains(lines[1], "run claimed") || !strings.Contains(lines[2], "start not answered") {
		t.Fatalf("want the lines of both logs in order of time, got:\n%s", out)
	}
	if strings.Contains(out, "ffff") {
		t.Error("a line of another job is printed")
	}
}

func TestWhyFindsAnInstancesLines(t *testing.T) {
	out, err := run(t, entryLog+agentLog, "why", "side-2", "-")
	if err != nil || strings.Count(out, "\n") != 2 {
		t.Fatalf("want two lines, got error %v and:\n%s", err, out)
	}
}

func TestWhyNamesALogThatDoesNotExist(t *testing.T) {
	if _, err := run(t, "", "why", "x", "no/such.log"); err == nil || !strings.Contains(err.Error(), "no/such.log") {
		t.Fatalf("want an error that names the missing file, got %v", err)
	}
}
