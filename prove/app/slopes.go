package app

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"time"

	"github.com/berylspar/spar/fold"
	"github.com/berylspar/spar/prove/stage"
	"github.com/berylspar/spar/stand/logs"
	"github.com/berylspar/spar/wire"
	"github.com/cockroachdb/errors"
	"gonum.org/v1/gonum/stat"
	"google.golang.org/protobuf/proto"
)

// Durations of one measurement.
const (
	slopeWarmUp = 3 * time.Second
	slopeSpan   = 6 * time.Second
)

// point is a value measured at one size.
type point struct {
	size  float64
	value float64
}

// slopes measures the cost of the components as a function of size.
func slopes(ctx context.Context, opts Options, out io.Writer) error {
	if opts.Quick {
		return logSlopes(ctx, opts, out)
	}
	foldSlopes(out)
	for _, measure := range []func(context.Context, Options, io.Writer) error{entrySlopes, agentSlopes, logSlopes} {
		if err := measure(ctx, opts, out); err != nil {
			return err
		}
	}
	return nil
}

// printFit prints the points, their linear regression, and the largest residual
// as a share of the largest value.
func printFit(out io.Writer, name, per string, points []point) {
	var xs, ys []float64
	maxValue := 0.0
	for _, p := range points {
		xs, ys = append(xs, p.size), append(ys, p.value)
		maxValue = max(maxValue, p.value)
	}
	intercept, slope := stat.LinearRegression(xs, ys, nil, false)
	residual := 0.0
	for i := range xs {
		residual = max(residual, abs(ys[i]-intercept-slope*xs[i]))
	}
	fmt.Fprintf(out, "%-42s", name)
	for _, p := range points {
		fmt.Fprintf(out, " %g:%.4g", p.size, p.value)
	}
	fmt.Fprintf(out, "\n%42s %.4g + %.4g %s, residual %.0f%%\n", "fit:", intercept, slope, per, 100*residual/max(maxValue, 1e-12))
}

func abs(f float64) float64 { return max(f, -f) }

// foldSlopes measures the size and build time of an entry's state by the number
// of running tasks.
func foldSlopes(out io.Writer) {
	var heapSize, snapshotSize, applyTime []point
	for _, tasks := range []int{2500, 5000, 10_000, 20_000} {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		began := time.Now()
		state := stateWithTasks(tasks)
		elapsed := time.Since(began)
		runtime.GC()
		runtime.ReadMemStats(&after)
		snapshot := state.Snapshot()
		heapSize = append(heapSize, point{float64(tasks), float64(after.HeapAlloc-before.HeapAlloc) / 1e6})
		snapshotSize = append(snapshotSize, point{float64(tasks), float64(proto.Size(snapshot)) / 1e6})
		applyTime = append(applyTime, point{float64(tasks), elapsed.Seconds()})
	}
	printFit(out, "fold: heap (MB) by running tasks", "MB/task", heapSize)
	printFit(out, "fold: snapshot (MB) by running tasks", "MB/task", snapshotSize)
	printFit(out, "fold: applying submit and claims (s)", "s/task", applyTime)
}

// stateWithTasks returns a state with the given number of running tasks.
func stateWithTasks(tasks int) *fold.State {
	const tasksPerJob = 10
	state := fold.NewState(0, nil)
	for j := range tasks / tasksPerJob {
		job := fmt.Sprintf("nightly-audit-%06d", j)
		records := []*wire.Record{{Id: make([]byte, 16), Body: &wire.Record_Submit{Submit: &wire.Spec{
			Job: job, Team: fmt.Sprintf("team-%d", j%190), Kind: "audit", Tasks: tasksPerJob, Size: &wire.Size{CpuMilli: 1000, MemoryMb: 2048}, RunMs: 60000, Repeatable: true,
		}}}}
		for i := range uint32(tasksPerJob) {
			records = append(records, &wire.Record{Id: make([]byte, 16), Body: &wire.Record_Claim{Claim: &wire.Claim{
				Task: &wire.TaskRef{Job: job, Index: i, Attempt: 1}, Worker: fmt.Sprintf("worker-%d", (j+int(i))%960), Session: fmt.Sprintf("worker-%d-0123456789ab", (j+int(i))%960),
			}}})
		}
		state.Apply(int64(j), records)
	}
	return state
}

// entrySlopes measures the resource use of an entry by the number of agents
// that renew with it.
func entrySlopes(ctx context.Context, opts Options, out io.Writer) error {
	var cpu, memory, bytes []point
	for _, agents := range []int{40, 80, 160, 320} {
		p := naemPlan(opts)
		p.Entries, p.Workers = 1, 1
		err := withDeployment(ctx, p, func(s *stage.Stage) error {
			load, stop := startRenewals(ctx, s.Entries()[0].Control, agents)
			defer stop()
			pause(ctx, slopeWarmUp)
			cpuBefore := s.Proc("entry-1").CPU()
			bytesBefore := load.bytes.Load()
			pause(ctx, slopeSpan)
			share := (s.Proc("entry-1").CPU() - cpuBefore).Seconds() / slopeSpan.Seconds()
			cpu = append(cpu, point{float64(agents), 100 * share})
			memory = append(memory, point{float64(agents), float64(s.Proc("entry-1").RSS()) / 1e6})
			bytes = append(bytes, point{float64(agents), float64(load.bytes.Load()-bytesBefore) / slopeSpan.Seconds() / 1e3})
			return nil
		})
		if err != nil {
			return err
		}
	}
	printFit(out, "entry: % of a core by agents renewing", "%/agent", cpu)
	printFit(out, "entry: resident memory (MB) by agents", "MB/agent", memory)
	printFit(out, "entry: renewals' bytes (KB/s) by agents", "KB/s/agent", bytes)
	return nil
}

// agentSlopes measures the resource use of an agent by the number of tasks that
// run on its worker.
func agentSlopes(ctx context.Context, opts Options, out io.Writer) error {
	var cpu, memory []point
	for _, tasks := range []int{5, 10, 20, 40} {
		p := naemPlan(opts)
		p.Entries, p.Workers, p.Processors, p.MemoryMB = 1, 1, 128, 512*1024
		err := withDeployment(ctx, p, func(s *stage.Stage) error {
			if err := s.Submit(ctx, 0, "long", "audit", tasks, time.Minute); err != nil {
				return err
			}
			pause(ctx, slopeWarmUp)
			cpuBefore := s.Proc("worker-1").CPU()
			pause(ctx, slopeSpan)
			share := (s.Proc("worker-1").CPU() - cpuBefore).Seconds() / slopeSpan.Seconds()
			cpu = append(cpu, point{float64(tasks), 100 * share})
			memory = append(memory, point{float64(tasks), float64(s.Proc("worker-1").RSS()) / 1e6})
			return nil
		})
		if err != nil {
			return err
		}
	}
	printFit(out, "agent: % of a core by running tasks", "%/task", cpu)
	printFit(out, "agent: resident memory (MB) by tasks", "MB/task", memory)
	return nil
}

// openTasks returns the status of the tasks that are not done.
func openTasks(j stage.Job) []string {
	var open []string
	for _, t := range j.Tasks {
		if t.Phase != "done" {
			open = append(open, fmt.Sprintf("%+v", t))
		}
	}
	return open
}

// logSlopes measures the appends to the log by the number of tasks that start
// and end.
func logSlopes(ctx context.Context, opts Options, out io.Writer) error {
	var appends, bytes []point
	for _, tasks := range []int{100, 200, 400, 800} {
		err := withDeployment(ctx, naemPlan(opts), func(s *stage.Stage) error {
			var before, after logs.Counts
			if _, err := stage.Call(ctx, "http://"+s.PlatformAddress()+"/counts", nil, &before); err != nil {
				return err
			}
			if err := s.Submit(ctx, 0, "short", "audit", tasks, 300*time.Millisecond); err != nil {
				return err
			}
			var last stage.Job
			err := stage.WaitUntil(ctx, time.Minute, "job done", func() bool {
				pause(ctx, 100*time.Millisecond)
				j, err := s.Job(ctx, 0, "short")
				last = j
				return err == nil && j.Ended
			})
			if err != nil {
				return errors.Wrapf(err, "%d of %d tasks: %+v", last.Done, tasks, openTasks(last))
			}
			_, err = stage.Call(ctx, "http://"+s.PlatformAddress()+"/counts", nil, &after)
			appends = append(appends, point{float64(tasks), float64(after.Appends - before.Appends)})
			bytes = append(bytes, point{float64(tasks), float64(after.AppendBytes-before.AppendBytes) / 1e3})
			return err
		})
		if err != nil {
			return err
		}
	}
	printFit(out, "log: appends by tasks done", "appends/task", appends)
	printFit(out, "log: bytes appended (KB) by tasks done", "KB/task", bytes)
	return nil
}
