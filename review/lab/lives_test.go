package lab

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// jobSpec is a task that takes longer than a case looks on.
	jobSpec  = "ms=20000 cpu=2000 mem=1024"
	jobTasks = 6
	// shortDown is how long a worker is down after a crash, and drainTime how long it drains
	// before it deregisters.
	shortDown = 1500 * time.Millisecond
	drainTime = 4 * time.Second
	// lateFirstReport is how long a worker that starts again takes to its first report.
	lateFirstReport = 400 * time.Millisecond
)

var workerSize = Size{CPU: 16000, Mem: 62500}

func jobSteps() []step {
	return []step{{"count": jobTasks, "cpu": 2000, "memMb": 1024, "estDurationMs": 20000}}
}

// submitAndAwait hands a job in and waits until its tasks are at work, some of them on the
// first worker.
func submitAndAwait(s *System, id string) error {
	if err := s.Submit(id, jobSpec, jobSteps()); err != nil {
		return err
	}
	w := s.Workers[0]
	if !await(10*time.Second, func() bool { return len(s.truth.Of(id)) >= jobTasks && w.RunCount() > 0 }) {
		return fmt.Errorf("%w: no task of job %s is at work on the first worker", errNotRun, id)
	}
	return nil
}

// lateReport: a status report of an earlier boot of a worker arrives after its sender has
// crashed and a new boot has registered at the same address. It is delivered to an agent
// that was stopped by plan and started again.
func lateReport(rec *Record, repo string, trouble bool) ([]string, error) {
	s, err := newSystem(rec, repo, options{entries: 3, workers: 4, capacity: workerSize})
	if s != nil {
		defer s.Close()
	}
	if err != nil {
		return nil, err
	}
	w, agent := s.Workers[0], s.Agents[0]
	path, body := w.Report()
	rec.Log("a status report of %s is held up on its way to %s: %s", path, w.control, body)
	w.End("crashed")
	time.Sleep(shortDown)
	if err := w.Boot("i-1-2"); err != nil {
		return nil, err
	}
	if !await(10*time.Second, func() bool { return w.Holds() > 2 }) {
		return nil, fmt.Errorf("%w: the new boot is not held", errNotRun)
	}
	if err := submitAndAwait(s, "00000000000000a1"); err != nil {
		return nil, err
	}
	w.AwaitReport()
	if err := agent.Stop(5 * time.Second); err != nil {
		return nil, err
	}
	if err := agent.Start(); err != nil {
		return nil, err
	}
	if trouble {
		arrived := await(time.Second, func() bool {
			code, err := put(w.control, path, body)
			if err == nil {
				rec.Log("the status report that was held up arrives: answer %d", code)
			}
			return err == nil
		})
		if !arrived {
			return nil, fmt.Errorf("%w: the agent doesn't listen", errNotRun)
		}
	}
	time.Sleep(8 * time.Second)
	return s.truth.Overlaps(), nil
}

// resetLeave: connections of a side machine are reset while its worker deregisters, so
// that the worker gets no confirmation and ends some seconds later.
func resetLeave(rec *Record, repo string, trouble bool) ([]string, error) {
	var mu sync.Mutex
	var failed error
	proxies := map[string]*Proxy{}
	through := func(name string) func(int, string) string {
		return func(i int, address string) string {
			if i > 0 {
				return address
			}
			p, err := NewProxy(address)
			if err != nil {
				failed = err
				return address
			}
			proxies[name] = p
			return p.Address()
		}
	}
	s, err := newSystem(rec, repo, options{entries: 3, workers: 4, capacity: workerSize, control: through("control"), app: through("app")})
	if s != nil {
		defer s.Close()
	}
	if err != nil || failed != nil {
		return nil, fmt.Errorf("%w %v", err, failed)
	}
	if err := submitAndAwait(s, "00000000000000c1"); err != nil {
		return nil, err
	}
	w := s.Workers[0]
	w.Drain()
	time.Sleep(drainTime)
	if trouble {
		proxies["control"].SetOnAnswer(func(request []byte) bool {
			if !strings.HasPrefix(string(request), "DELETE ") {
				return true
			}
			mu.Lock()
			defer mu.Unlock()
			n := proxies["app"].Reset() + proxies["control"].Reset()
			rec.Log("%d connections between the side machine and its worker are reset", n)
			return false
		})
	}
	code, err := call(http.MethodDelete, w.control, "/instances/"+w.id, nil)
	rec.Log("worker %s sends DELETE /instances/%s: answer %d, error %v", w.id, w.id, code, err)
	if err == nil && code == http.StatusOK {
		w.End("left")
	} else {
		rec.Log("worker %s got no confirmation and ends in 3 s", w.id)
		time.Sleep(3 * time.Second)
		w.End("left")
	}
	time.Sleep(5 * time.Second)
	return s.truth.Overlaps(), nil
}

// lateOrder: a worker leaves a start call without an answer, drains and leaves by plan, and
// its machine starts again under the id that it had. The start call is carried out late.
func lateOrder(rec *Record, repo string, trouble bool) ([]string, error) {
	s, err := newSystem(rec, repo, options{entries: 3, workers: 4, capacity: workerSize})
	if s != nil {
		defer s.Close()
	}
	if err != nil {
		return nil, err
	}
	w := s.Workers[0]
	if trouble {
		w.LeaveNextStart()
	}
	id := "00000000000000d1"
	if err := s.Submit(id, jobSpec, jobSteps()); err != nil {
		return nil, err
	}
	if !await(5*time.Second, func() bool { return w.LeftStart() != nil || !trouble && w.RunCount() > 0 }) {
		return nil, fmt.Errorf("%w: no start call reaches the first worker", errNotRun)
	}
	w.Drain()
	time.Sleep(drainTime)
	code, err := call(http.MethodDelete, w.control, "/instances/"+w.id, nil)
	rec.Log("worker %s sends DELETE /instances/%s: answer %d, error %v", w.id, w.id, code, err)
	w.End("left")
	time.Sleep(shortDown)
	w.firstReport = lateFirstReport
	if err := w.Boot(w.id); err != nil {
		return nil, err
	}
	if trouble {
		time.Sleep(lateFirstReport / 2)
		if err := w.CarryOutLate(); err != nil {
			return nil, err
		}
	}
	time.Sleep(6 * time.Second)
	return s.truth.Overlaps(), nil
}
