// Package app runs the load generator.
package app

import (
	"context"
	"encoding/json"
	"io"
	"os/signal"
	"syscall"

	"github.com/berylspar/spar/common"
	"github.com/berylspar/spar/load/drive"
	"go.uber.org/dig"
)

// Main runs the program and returns its exit code.
func Main(args []string, out, errs io.Writer) int {
	return common.Main(common.Program[drive.Settings]{
		Name: "load", About: "sends requests at a fixed rate and reports latency and outcomes",
		Defaults: drive.DefaultSettings(), Run: run,
	}, args, out, errs)
}

func run(ctx context.Context, s drive.Settings, out, _ io.Writer) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	c := dig.New()
	if err := c.Provide(func() *drive.Driver { return drive.NewDriver(s) }); err != nil {
		return err
	}
	return c.Invoke(func(d *drive.Driver) error {
		e := json.NewEncoder(out)
		e.SetIndent("", "  ")
		return e.Encode(d.Run(ctx))
	})
}
