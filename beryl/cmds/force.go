package cmds

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// forceStatus is the response of an entry to a query for the revision in force.
// Behind lists the agents that hold an older one.
type forceStatus struct {
	Entry    string   `json:"entry"`
	Revision int64    `json:"revision"`
	AgeMS    int64    `json:"age_ms"`
	Agents   int      `json:"agents"`
	Behind   []string `json:"behind"`
}

// awaitInForce waits until all entries and their agents hold a revision. If this
// takes longer than forceTimeout, the error lists those that don't.
func (r *Runner) awaitInForce(ctx context.Context, revision int64) error {
	began := time.Now()
	for {
		missing := r.notInForce(ctx, revision)
		if len(missing) == 0 {
			fmt.Fprintf(r.Out, "revision %d in force everywhere after %d ms\n", revision, time.Since(began).Milliseconds())
			return nil
		}
		if time.Since(began) > forceTimeout || ctx.Err() != nil {
			return errors.Newf("revision %d is accepted, but not seen in force after %s at: %s", revision, time.Since(began).Round(time.Millisecond), strings.Join(missing, ", "))
		}
		time.Sleep(forcePollInterval)
	}
}

// notInForce returns the entries that don't answer or hold an older revision, and
// the agents that hold an older one.
func (r *Runner) notInForce(ctx context.Context, revision int64) []string {
	var out []string
	for _, e := range r.target.Entries {
		f, err := get[forceStatus](ctx, r, e, "/v1/force")
		switch {
		case err != nil:
			out = append(out, "entry "+e+" (no answer)")
		case f.Revision < revision:
			out = append(out, fmt.Sprintf("entry %s (revision %d)", e, f.Revision))
		default:
			for _, b := range f.Behind {
				out = append(out, "agent "+b)
			}
		}
	}
	return out
}

func (r *Runner) show(ctx context.Context, args []string) error {
	if len(args) > 0 {
		return errors.Mark(errors.New("takes no argument"), ErrUsage)
	}
	t, stopTail, err := r.tailToHead(ctx)
	if err != nil {
		return err
	}
	defer stopTail()
	f := t.Config()
	fmt.Fprintf(r.Out, "revision %d by %s\n%s", f.Revision(), f.Author(), f.Body())
	for _, e := range r.target.Entries {
		a, err := get[forceStatus](ctx, r, e, "/v1/force")
		if err != nil {
			fmt.Fprintf(r.Out, "entry %s: no answer\n", e)
			continue
		}
		fmt.Fprintf(r.Out, "entry %s: revision %d, read %d ms ago; %d agents, behind: %s\n", e, a.Revision, a.AgeMS, a.Agents, orNone(a.Behind))
	}
	return nil
}

func orNone(names []string) string {
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(names, ", ")
}
