package cmds_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/berylspar/spar/beryl/cmds"
	"github.com/cockroachdb/errors"
	"github.com/sebdah/goldie/v2"
)

const whereBody = `{"queue":{"name":"plans","service":"desk","priority":2},"configuration":7,"configuration_age_ns":400000000,
"owner":{"admission":{"reason":"hopeless","wait_ns":30000000000,"return_ns":8000000000},"admission_on":true,"load_age_ns":200000000,"owner_for_ns":60000000000,"workers":5,
"plan":{"objective_ns":5000000000,"path_ns":2000000000,"jobs_ahead":3,"work_ahead_ns":90000000000,"steps":[
{"step":0,"waiting":20,"starts":[{"worker":"n1","tasks":4,"pace":100}],"excluded":{"without room":3,"in a closed domain":1},"nearest":"n4","lacks":{"cpu_milli":1500}},
{"step":1,"waiting":20,"after":[0]}]}}}`

func TestJobWherePrintsWhatTheOwnerTells(t *testing.T) {
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.Method != http.MethodPost || q.URL.Path != "/where" || q.URL.Query().Get("queue") != "plans" {
			http.NotFound(w, q)
			return
		}
		_, _ = w.Write([]byte(whereBody))
	}))
	defer entry.Close()
	file := filepath.Join(t.TempDir(), "job.json")
	if err := os.WriteFile(file, []byte(`{"steps":[]}`), 0o600); err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	r := cmds.NewRunner(cmds.Target{Entries: []string{strings.TrimPrefix(entry.URL, "http://")}}, cmds.Streams{Out: &out, Errs: &out})
	if err := r.Run(context.Background(), []string{"job", "where", "-queue", "plans", file}); err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "where", out.Bytes())
	if err := r.Run(context.Background(), []string{"job", "where", "-queue", "plans", "-host", "desk", file}); !errors.Is(err, cmds.ErrUsage) {
		t.Errorf("queue and host: %v, want %v", err, cmds.ErrUsage)
	}
}
