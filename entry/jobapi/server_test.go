package jobapi

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/common"
	"github.com/berylspar/spar/entry/config"
	"github.com/berylspar/spar/entry/owner"
	"github.com/berylspar/spar/link"
	"github.com/berylspar/spar/platform"
	"github.com/berylspar/spar/stand/store"
	"github.com/berylspar/spar/track"
	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"
)

// newTestServer returns a server whose configuration has one queue, and its store.
func newTestServer(t *testing.T) (*Server, *store.Store) {
	c := common.Common{Logger: log.NewNopLogger(), Scope: tally.NoopScope}
	st := &store.Store{}
	if _, err := st.Append("op", nil, []spar.Record{{Key: "rules", Value: []byte{1}}}); err != nil {
		t.Fatal(err)
	}
	client := store.NewClient(st, 1)
	w := config.NewWatcher(c, client, "op", func(spar.Record) (config.Change, error) {
		return config.Change{Rules: &spar.Rules{Version: 1, Queues: []spar.Queue{{Name: "q", Prefix: "/q/", Host: "desk.example"}}}}, nil
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := w.Run(ctx)
	t.Cleanup(func() {
		cancel()
		<-done
	})
	for w.Load().Rules == nil {
		time.Sleep(time.Millisecond)
	}
	candidate := owner.NewCandidate(c, owner.DefaultSettings(), client, nil, w, "e", link.EntryRecord{}, nil, func() time.Duration { return 0 }, owner.NewHTTPPeers())
	jobs := owner.NewClient(c, candidate, track.NewDirectory(client, time.Second, func(error) {}))
	return NewServer(c, w, jobs, Format{DecodeJob: platform.DecodeJob, EncodeState: platform.EncodeJobState, EncodeQueueLength: platform.EncodeQueueLength, TimeoutHeader: platform.CallerTimeoutHeader}), st
}

// post submits a job and returns the answer's status and body.
func post(s *Server, body string) (int, string) {
	var c fasthttp.RequestCtx
	c.Request.Header.SetMethod(fasthttp.MethodPost)
	c.Request.SetRequestURI("http://desk.example/q/5c0e7a21d94b36f8")
	c.Request.SetBodyString(body)
	s.handle(context.Background(), &c)
	return c.Response.StatusCode(), string(c.Response.Body())
}

// A job that does not fit into a record of the store can never be accepted. It must be
// refused before it is sent, with the field and the limit: the store refuses it together
// with all that is appended with it, and the caller would come again and again.
func TestJobBeyondARecordIsRefusedWithItsFieldAndLimit(t *testing.T) {
	s, st := newTestServer(t)
	steps := func(n int) string {
		one := fmt.Sprintf(`{"count":1,"image":%q}`, strings.Repeat("i", 300))
		return `{"steps":[` + strings.Join(strings.Fields(strings.Repeat(one+", ", n-1)+one), "") + `]}`
	}
	code, body := post(s, steps(1200))
	if code != fasthttp.StatusBadRequest || !strings.Contains(body, "steps: 1200") || !strings.Contains(body, "at most 261884") {
		t.Errorf("status %d: %s", code, body)
	}
	if n := len(st.Newest(owner.JobsTopic).Records); n != 0 {
		t.Errorf("%d records are stored", n)
	}
	if code, body = post(s, steps(500)); code != fasthttp.StatusOK {
		t.Errorf("a job that fits: status %d: %s", code, body)
	}
}
