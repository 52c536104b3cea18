package stage

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/berylspar/spar/stand/logs"
	"github.com/berylspar/spar/stand/work"
	"github.com/cockroachdb/errors"
)

const (
	callTimeout  = 10 * time.Second
	pollInterval = 10 * time.Millisecond
)

// Call sends a POST with in as its JSON body, or a GET if in is nil, and
// decodes the response into out, which may be nil. It returns the HTTP status.
func Call(ctx context.Context, url string, in, out any) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	method, body := http.MethodGet, io.Reader(nil)
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return 0, err
		}
		method, body = http.MethodPost, bytes.NewReader(data)
	}
	q, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return 0, err
	}
	res, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil || out == nil {
		return res.StatusCode, err
	}
	if res.StatusCode != http.StatusOK {
		return res.StatusCode, errors.Newf("%s: status %d: %s", url, res.StatusCode, data)
	}
	return res.StatusCode, json.Unmarshal(data, out)
}

// AwaitReady waits until the daemon at an admin address reports that it is
// ready.
func (s *Stage) AwaitReady(ctx context.Context, admin string) error {
	return WaitUntil(ctx, readyTimeout, "ready: "+admin, func() bool {
		status, err := Call(ctx, "http://"+admin+"/readyz", nil, nil)
		return err == nil && status == http.StatusOK
	})
}

// WaitUntil polls a condition until it holds, and returns an error after the
// limit.
func WaitUntil(ctx context.Context, limit time.Duration, description string, condition func() bool) error {
	end := time.Now().Add(limit)
	for !condition() {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if time.Now().After(end) {
			return errors.Newf("condition not met within %s: %s", limit, description)
		}
		time.Sleep(pollInterval)
	}
	return nil
}

func (s *Stage) startStandIn(ctx context.Context) error {
	if err := s.Start("stand", "stand"); err != nil {
		return err
	}
	return WaitUntil(ctx, readyTimeout, "stand-in", func() bool {
		status, err := Call(ctx, "http://"+s.platform+"/healthz", nil, nil)
		return err == nil && status == http.StatusOK
	})
}

// Report returns the stand-in's own record of which task ran where and when.
func (s *Stage) Report(ctx context.Context) (work.Report, error) {
	var r work.Report
	_, err := Call(ctx, "http://"+s.platform+"/truth", nil, &r)
	return r, err
}

// LogFaults sets the faults of the log.
func (s *Stage) LogFaults(ctx context.Context, f logs.Faults) error {
	_, err := Call(ctx, "http://"+s.platform+"/faults/log", f, nil)
	return err
}

// WorkerFaults sets the faults of a worker.
func (s *Stage) WorkerFaults(ctx context.Context, worker string, f work.Faults) error {
	_, err := Call(ctx, "http://"+s.platform+"/faults/workers/"+worker, f, nil)
	return err
}
