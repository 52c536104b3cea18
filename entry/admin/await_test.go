package admin

import (
	"context"
	"testing"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/fold"
	"github.com/berylspar/spar/tail"
	"github.com/berylspar/spar/wire"
	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/proto"
)

// lateLog is a log whose only record can be read once appended is closed. Reads fail
// while it is down.
type lateLog struct {
	spar.Log
	record   []byte
	appended chan struct{}
	down     bool
}

func (l *lateLog) Read(ctx context.Context, from int64, wait time.Duration) (spar.Page, error) {
	if l.down {
		return spar.Page{}, spar.ErrUnknown
	}
	select {
	case <-l.appended:
	case <-ctx.Done():
		return spar.Page{}, ctx.Err()
	case <-time.After(wait):
		return spar.Page{}, nil
	}
	if from > 0 {
		time.Sleep(wait)
		return spar.Page{Head: 1}, nil
	}
	return spar.Page{Head: 1, Entries: []spar.Entry{{Data: l.record}}}, nil
}

// A job that another entry has just accepted used to be denied by an entry that had not
// read it yet.
func TestJobIsDeniedOnlyAfterTheLogWasRead(t *testing.T) {
	record, err := proto.Marshal(&wire.Batch{Records: []*wire.Record{{Id: tail.NewID(), By: "entry-1", Body: &wire.Record_Submit{Submit: &wire.Spec{Job: "busy", Team: "desk", Tasks: 1, Size: &wire.Size{}}}}}})
	if err != nil {
		t.Fatal(err)
	}
	for _, tt := range []struct {
		name, job string
		down      bool
		want      int
	}{
		{"accepted elsewhere", "busy", false, fasthttp.StatusOK},
		{"never accepted", "other", false, fasthttp.StatusNotFound},
		{"log away", "busy", true, fasthttp.StatusServiceUnavailable},
	} {
		t.Run(tt.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			l := &lateLog{record: record, appended: make(chan struct{}), down: tt.down}
			follower := tail.NewTail(tail.DefaultSettings(), l, fold.NewState(0, nil))
			done := follower.Run(ctx)
			defer func() { cancel(); <-done }()
			time.AfterFunc(100*time.Millisecond, func() { close(l.appended) })
			var c fasthttp.RequestCtx
			team, ok := readJob(&Admin{tail: follower}, &c, tt.job, teamOf)
			if got := c.Response.StatusCode(); got != tt.want || ok != (tt.want == fasthttp.StatusOK) || ok && team != "desk" {
				t.Errorf("want status %d, got %d, found %v, team %q", tt.want, got, ok, team)
			}
		})
	}
}
