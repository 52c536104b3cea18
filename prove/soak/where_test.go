package soak_test

import (
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// whereJob is a job of 40 tasks, of which 24 fit on three workers of 4 processors.
const whereJob = `{"steps":[{"count":40,"cpu":500,"memMb":200,"estDurationMs":500},{"count":1,"cpu":500,"memMb":200,"dependsOn":[0]}]}`

// Operators ask any entry where a job would go. What they ask about is not submitted.
func TestWhereAsksWithoutSending(t *testing.T) {
	d := newDeployment(t, 2, 3, rand.New(rand.NewPCG(1, 17)), folders{entry: builtFolder, agent: builtFolder})
	d.awaitReady()
	file := filepath.Join(t.TempDir(), "job.json")
	if err := os.WriteFile(file, []byte(whereJob), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, e := range d.entries {
		var out string
		for end := time.Now().Add(readyTimeout); !strings.Contains(out, "step 0: 40 waiting") || !strings.Contains(out, "16 stay waiting; workers: 3 without room"); time.Sleep(600 * time.Millisecond) {
			out = beryl(t, e, "job", "where", "-queue", "queue", file)
			if time.Now().After(end) {
				t.Fatalf("entry %s: %s", e.name, out)
			}
		}
		t.Logf("entry %s:\n%s", e.name, out)
	}
	out := ""
	for end := time.Now().Add(readyTimeout); !strings.Contains(out, "no job example"); out = beryl(t, d.entries[0], "job", "where", "example") {
		if time.Now().After(end) {
			t.Fatalf("the job was submitted: %s", out)
		}
	}
	if out = beryl(t, d.entries[0], "job", "where", "-host", host, "-path", prefix, "-method", "GET"); !strings.Contains(out, "request: tells the length of the queue") {
		t.Errorf("a request without a job: %s", out)
	}
	if out = beryl(t, d.entries[0], "job", "where", "-host", host, "-path", "/none/", file); !strings.Contains(out, "path: no such queue") {
		t.Errorf("a path without a queue: %s", out)
	}
}

// Operators ask why an accepted job does not run.
func TestWhereTellsWhatAnAcceptedJobWaitsFor(t *testing.T) {
	d := newDeployment(t, 2, 3, rand.New(rand.NewPCG(2, 17)), folders{entry: builtFolder, agent: builtFolder})
	d.awaitReady()
	const id = "5c0e7a21d94b36f8"
	callers := &callers{d: d, client: &http.Client{Timeout: callTimeout}}
	end := time.Now().Add(readyTimeout)
	for code := 0; code != http.StatusOK; code, _ = callers.call(0, http.MethodPost, id, []byte(`{"steps":[{"count":1,"cpu":9000,"memMb":200}]}`)) {
		if time.Now().After(end) {
			t.Fatalf("job not accepted: status %d", code)
		}
	}
	var out string
	for !strings.Contains(out, "1 stay waiting; workers: 3 without room") || !strings.Contains(out, "which lacks 5000 m cpu") {
		if out = beryl(t, d.entries[1], "job", "where", id); time.Now().After(end) {
			t.Fatal(out)
		}
		time.Sleep(600 * time.Millisecond)
	}
	t.Log(out)
}

// beryl runs the command line against an entry and returns what it prints.
func beryl(t *testing.T, e *process, args ...string) string {
	t.Helper()
	out, err := exec.Command(filepath.Join(builtFolder, "beryl"), append([]string{"-entries", e.admin}, args...)...).CombinedOutput()
	if err != nil && !strings.Contains(string(out), "beryl:") {
		t.Fatalf("beryl %v: %v: %s", args, err, out)
	}
	return string(out)
}
