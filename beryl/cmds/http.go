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
	// requestTimeout bounds a request to one entry, so that a command goes on to
	// the next entry if one hangs.
	requestTimeout = 10 * time.Second
	// maxResponseBytes bounds the memory for a response. A longer response is cut
	// off there and fails to decode.
	maxResponseBytes = 64 << 20
)

// refusalBody is the body of an entry's response to a request that it refuses.
// Field names the invalid field, if there is one.
type refusalBody struct {
	Field string `json:"field"`
	Error string `json:"error"`
}

// get sends a GET request to one entry and decodes the response.
func get[T any](ctx context.Context, r *Runner, entry, path string) (T, error) {
	return request[T](ctx, r, entry, http.MethodGet, path, nil)
}

// request sends a request to one entry and decodes the JSON response. Errors of
// sending the request or reading the response are marked with errNoAnswer.
func request[T any](ctx context.Context, r *Runner, entry, method, path string, body []byte) (T, error) {
	var out T
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
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
	data, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return out, errors.Mark(err, errNoAnswer)
	}
	if res.StatusCode != http.StatusOK {
		return out, refusalError(res.StatusCode, data)
	}
	return out, json.Unmarshal(data, &out)
}

var errNoAnswer = errors.New("no answer")

func refusalError(status int, data []byte) error {
	var f refusalBody
	if json.Unmarshal(data, &f) != nil || f.Error == "" {
		return errors.Newf("status %d: %s", status, bytes.TrimSpace(data))
	}
	if f.Field != "" {
		return errors.Newf("%s: %s", f.Field, f.Error)
	}
	return errors.Newf("%s", f.Error)
}

// anyEntry sends a request to the entries in turn until one answers; a refusal
// is an answer too.
func anyEntry[T any](ctx context.Context, r *Runner, method, path string, body []byte) (T, error) {
	var out T
	err := errors.Mark(errors.New("no entry is configured"), ErrUsage)
	for _, e := range r.target.Entries {
		out, err = request[T](ctx, r, e, method, path, body)
		if !errors.Is(err, errNoAnswer) {
			return out, err
		}
	}
	return out, err
}
