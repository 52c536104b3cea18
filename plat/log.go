package plat

import (
	"context"
	"fmt"
	"time"

	"github.com/berylspar/spar"
)

// Log is the platform's append-only log.
type Log struct {
	client client
}

var _ spar.Log = (*Log)(nil)

// NewLog returns the log served at a base address such as
// http://127.0.0.1:7000.
func NewLog(base string) *Log { return &Log{client: newClient(base)} }

// Append adds one record.
func (l *Log) Append(ctx context.Context, data []byte) (int64, error) {
	a, err := call[AppendAnswer](ctx, l.client, "/log", AppendRequest{Data: data}, 0)
	return a.Offset, err
}

// Read returns the records from an offset on. The server waits up to wait for
// the first one.
func (l *Log) Read(ctx context.Context, from int64, wait time.Duration) (spar.Page, error) {
	path := fmt.Sprintf("/log?from=%d&wait_ms=%d", from, wait.Milliseconds())
	a, err := call[PageAnswer](ctx, l.client, path, nil, wait)
	if err != nil {
		return spar.Page{}, err
	}
	p := spar.Page{Oldest: a.Oldest, Head: a.Head}
	for _, e := range a.Entries {
		p.Entries = append(p.Entries, spar.Entry{Offset: e.Offset, Data: e.Data})
	}
	return p, nil
}
