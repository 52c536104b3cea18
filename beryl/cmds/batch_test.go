package cmds_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/berylspar/spar/beryl/cmds"
)

// Only the owner of the shard knows a batch job, and a job that was given up must
// be shown with the reason.
func TestJobShowAsksTheOwnerForTheReasonOfAFailure(t *testing.T) {
	other := httptest.NewServer(http.NotFoundHandler())
	defer other.Close()
	owner := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		switch q.URL.Path {
		case "/jobs/5c0e7a21d94b36f8":
			_, _ = w.Write([]byte(`{"state":"failed","known":true,"failure":"task 5c0e7a21d94b36f8.0.0.0 crashed 2 workers"}`))
		case "/jobs/unknown":
			_, _ = w.Write([]byte(`{}`))
		default:
			http.NotFound(w, q)
		}
	}))
	defer owner.Close()
	target := cmds.Target{Entries: []string{strings.TrimPrefix(other.URL, "http://"), strings.TrimPrefix(owner.URL, "http://")}}
	var out bytes.Buffer
	r := cmds.NewRunner(target, cmds.Streams{Out: &out, Errs: &out})
	if err := r.Run(context.Background(), []string{"job", "show", "5c0e7a21d94b36f8"}); err != nil {
		t.Fatal(err)
	}
	if want := "job 5c0e7a21d94b36f8: failed: task 5c0e7a21d94b36f8.0.0.0 crashed 2 workers\n"; out.String() != want {
		t.Errorf("printed %q, want %q", out.String(), want)
	}
	if err := r.Run(context.Background(), []string{"job", "show", "unknown"}); err == nil || !strings.Contains(err.Error(), "not known") {
		t.Errorf("unknown job: %v", err)
	}
}
