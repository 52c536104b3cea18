package cmds

import (
	"context"
	"fmt"
	"net/http"
	"net/url"

	"github.com/cockroachdb/errors"
)

// batchJob is what the owner of the shard tells about a batch job on a partitioned
// log.
type batchJob struct {
	State   string `json:"state"`
	Known   bool   `json:"known"`
	Failure string `json:"failure"`
}

// showBatchJob asks the entries in turn for a batch job and reports whether one
// answered. Only the owner of the shard does.
func (r *Runner) showBatchJob(ctx context.Context, name string) (answered bool, err error) {
	for _, e := range r.target.Entries {
		j, err := request[batchJob](ctx, r, e, http.MethodGet, "/jobs/"+url.PathEscape(name), nil)
		if err != nil {
			continue
		}
		if !j.Known {
			return true, errors.Newf("job %s is not known", name)
		}
		fmt.Fprintf(r.Out, "job %s: %s", name, j.State)
		if j.Failure != "" {
			fmt.Fprintf(r.Out, ": %s", j.Failure)
		}
		fmt.Fprintln(r.Out)
		return true, nil
	}
	return false, nil
}
