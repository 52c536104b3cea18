package cmds

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	askLimit  = 10 * time.Second
	maxAnswer = 64 << 20
)

// failure is an entry's refusal.
type failure struct {
	Field string `json:"field"`
	Error string `json:"error"`
}

// get asks one entry.
func get[T any](ctx context.Context, r *Runner, entry, path string) (T, error) {
	return ask[T](ctx, r, entry, http.MethodGet, path, nil)
}

func ask[T any](ctx context.Context, r *Runner, entry, method, path string, body []byte) (T, error) {
	var out T
	ctx, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, "http://"+entry+path, bytes.NewReader(body))
	if err != nil {
		return out, err
	}
	if r.target.TeamKey != "" {
		q.Header.Set("Beryl-Team-Key", r.target.TeamKey)
	}
	res, err := http.DefaultClient.Do(q)
	if err != nil {
		return out, errors.Mark(err, errNoAnswer)
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxAnswer))
	if err != nil {
		return out, errors.Mark(err, errNoAnswer)
	}
	if res.StatusCode != http.StatusOK {
		return out, refusal(res.StatusCode, data)
	}
	return out, json.Unmarshal(data, &out)
}

var errNoAnswer = errors.New("no answer")

func refusal(status int, data []byte) error {
	var f failure
	if json.Unmarshal(data, &f) != nil || f.Error == "" {
		return errors.Newf("status %d: %s", status, bytes.TrimSpace(data))
	}
	if f.Field != "" {
		return errors.Newf("%s: %s", f.Field, f.Error)
	}
	return errors.Newf("%s", f.Error)
}

// any asks the entries in turn until one answers.
func anyEntry[T any](ctx context.Context, r *Runner, method, path string, body []byte) (T, error) {
	var out T
	err := errors.Mark(errors.New("no entry is configured"), ErrUsage)
	for _, e := range r.target.Entries {
		out, err = ask[T](ctx, r, e, method, path, body)
		if !errors.Is(err, errNoAnswer) {
			return out, err
		}
	}
	return out, err
}
