// Package app builds the entry and runs it.
package app

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"os/signal"
	"syscall"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/common"
	"github.com/cockroachdb/errors"
)

// errExpelled is returned when another entry has expelled this one, which must
// then restart with a new session name.
var errExpelled = errors.New("entry expelled")

// Main runs the program and returns its exit code.
func Main(args []string, out, errs io.Writer) int {
	return common.Main(common.Program[Settings]{
		Name: "entry", About: "serves callers, plans batch work and renews the leases of agents",
		Defaults: DefaultSettings(), Check: check, Run: run,
	}, args, out, errs)
}

// run runs the entry. It restarts it with a new session if the previous one was
// expelled, or fell so far behind that the log has dropped the records to read
// next.
func run(ctx context.Context, s Settings, out, errs io.Writer) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	for {
		err := runSession(ctx, s, out, errs)
		restart := errors.Is(err, errExpelled) || errors.Is(err, spar.ErrGone)
		if !restart || ctx.Err() != nil {
			return err
		}
	}
}

func newSessionName(name string) sessionName {
	var b [6]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "read random bytes for a session name"))
	}
	return sessionName(name + "-" + hex.EncodeToString(b[:]))
}
