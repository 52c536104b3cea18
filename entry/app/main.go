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

// errExpelled says that the entry was expelled and must start again under a
// new name.
var errExpelled = errors.New("entry expelled")

// Main runs the program and returns its exit code.
func Main(args []string, out, errs io.Writer) int {
	return common.Main(common.Program[Settings]{
		Name: "entry", About: "serves callers, plans batch work and renews the leases of agents",
		Defaults: DefaultSettings(), Check: check, Run: run,
	}, args, out, errs)
}

// run builds an entry under a new session name, again whenever it was expelled
// or fell behind the log's retention.
func run(ctx context.Context, s Settings, out, errs io.Writer) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	for {
		err := session(ctx, s, out, errs)
		again := errors.Is(err, errExpelled) || errors.Is(err, spar.ErrGone)
		if !again || ctx.Err() != nil {
			return err
		}
	}
}

func newName(name string) sessionName {
	var b [6]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "random source"))
	}
	return sessionName(name + "-" + hex.EncodeToString(b[:]))
}
