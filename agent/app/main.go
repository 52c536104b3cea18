// Package app builds the agent and runs it.
package app

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/berylspar/spar/agent/renew"
	"github.com/berylspar/spar/common"
	"github.com/cockroachdb/errors"
)

// Main runs the program and returns its exit code.
func Main(args []string, out, errs io.Writer) int {
	return common.Main(common.Program[Settings]{
		Name: "agent", About: "runs beside a backend server: batch tasks, and requests to the backend",
		Defaults: DefaultSettings(), Check: check, Run: run,
	}, args, out, errs)
}

// run runs the agent, under a new session each time the current one is fenced.
func run(ctx context.Context, s Settings, out, errs io.Writer) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	for {
		err := runSession(ctx, s, out, errs)
		if !errors.Is(err, renew.ErrFenced) || ctx.Err() != nil {
			return err
		}
	}
}

func newSessionName(worker string) string {
	var b [6]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "read random bytes for a session name"))
	}
	return fmt.Sprintf("%s-%s", worker, hex.EncodeToString(b[:]))
}
