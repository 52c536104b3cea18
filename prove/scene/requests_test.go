package scene

import (
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/berylspar/spar/load/drive"
	"github.com/berylspar/spar/prove/fault"
	"github.com/berylspar/spar/prove/stage"
)

var wrongAnswers = Scenario{
	Name:        "WrongAnswers",
	Description: "responses from backend and agent are swapped, truncated and delayed; a caller gets the complete response to its own request or an error",
	Run: func(s *Scene) {
		s.net.SetRules(fault.Rules{CorruptIDEvery: 7, TruncateEvery: 11}, func(link string) bool { return strings.HasSuffix(link, ">backend") })
		s.net.SetRules(fault.Rules{CorruptIDEvery: 13, TruncateEvery: 17, Delay: 5 * time.Millisecond}, func(link string) bool { return strings.HasSuffix(link, "-requests") })
		repeatableReport := s.startLoad(drive.Settings{Repeatable: true}, 6*time.Second)
		nonRepeatableReport := s.startLoad(drive.Settings{PerSecond: 50}, 6*time.Second)
		for name, report := range map[string]drive.Report{"repeatable": <-repeatableReport, "not repeatable": <-nonRepeatableReport} {
			s.Logf("%s: %+v", name, report)
			if report.Crossed > 0 {
				s.Errorf("%s requests: got %d responses that are incomplete or belong to another request, want 0", name, report.Crossed)
			}
			if report.Done == 0 {
				s.Errorf("%s requests: got none done, want some", name)
			}
		}
	},
}

var atMostOnce = Scenario{
	Name:        "AtMostOnce",
	Description: "keyed requests are retried through other entries while an entry is killed and responses of agents are lost; none runs twice, and none runs whose every answer was not-run",
	Run: func(s *Scene) {
		s.net.SetRules(fault.Rules{TruncateEvery: 5}, func(link string) bool { return strings.HasSuffix(link, "-requests") })
		var notRun sync.Map
		var senders sync.WaitGroup
		var sent, done atomic.Int64
		stop := make(chan struct{})
		for i := range 8 {
			senders.Go(func() {
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					default:
					}
					key := fmt.Sprintf("invoice-%d-%d", i, n)
					sent.Add(1)
					if s.sendInvoice(key, &notRun) {
						done.Add(1)
					}
				}
			})
		}
		s.pause(2 * time.Second)
		s.Proc("entry-1").Kill()
		s.pause(2 * time.Second)
		s.requireNoError(s.Start("entry", "entry-1"))
		s.pause(4 * time.Second)
		close(stop)
		senders.Wait()
		record, err := s.Report(s.ctx)
		s.requireNoError(err)
		for key, executions := range record.KeyExecutions {
			if _, reportedNotRun := notRun.Load(key); reportedNotRun && executions > 0 {
				s.Errorf("request %s ran %d times, want 0 because every answer was not-run", key, executions)
			}
		}
		s.Logf("%d invoices, %d answered as done, %d ran", sent.Load(), done.Load(), len(record.KeyExecutions))
		if done.Load() == 0 {
			s.Error("keyed requests: got none done, want some")
		}
	},
}

// sendInvoice sends a keyed request through one entry after another until it is
// done, and reports whether it was done. It stores the key in notRun if every
// answer was not-run.
func (s *Scene) sendInvoice(key string, notRun *sync.Map) bool {
	allNotRun := true
	for i := range 4 {
		entry := s.Entries()[i%len(s.Entries())]
		q, err := http.NewRequestWithContext(s.ctx, http.MethodPost, "http://"+entry.Listen+"/invoice", strings.NewReader(key))
		if err != nil {
			return false
		}
		q.Header.Set("Beryl-Service", "booking-desk")
		q.Header.Set("Beryl-Key", key)
		q.Header.Set("Beryl-Deadline-Ms", "400")
		res, err := http.DefaultClient.Do(q)
		if err != nil {
			allNotRun = false
			continue
		}
		res.Body.Close()
		switch res.Header.Get("Beryl-Outcome") {
		case "done":
			return true
		case "unknown":
			allNotRun = false
		}
	}
	if allNotRun {
		notRun.Store(key, true)
	}
	return false
}

var badUse = Scenario{
	Name:        "BadUse",
	Description: "invalid flags, settings, configurations, jobs and requests are rejected with a message that names the fault, and with an exit code",
	Run: func(s *Scene) {
		for _, tc := range []struct {
			wantCode int
			wantText string
			args     []string
		}{
			{2, "flag provided but not defined: -nope", []string{"-nope"}},
			{2, `"fly" is not a command`, []string{"fly"}},
			{2, "services.0.target_ms", []string{"check", s.writeTempFile(`{"domains":[],"teams":[],"kinds":[],"services":[{"name":"a","target_ms":0}]}`)}},
			{2, "additional properties 'domian'", []string{"check", s.writeTempFile(`{"domian":[],"domains":[],"teams":[],"kinds":[],"services":[]}`)}},
			{2, `kinds.0.team: "b" is not one of the teams`, []string{"check", s.writeTempFile(`{"domains":[],"teams":[],"services":[],"kinds":[{"name":"k","team":"b","tasks":1,"run_ms":1,"size":{"cpu_milli":1,"memory_mb":1}}]}`)}},
			{2, `"atlantis" is not one of the domains`, []string{"domain", "close", "atlantis"}},
			{1, `kind: "nope" is not one of the kinds`, []string{"job", "submit", "-job", "a", "-kind", "nope"}},
			{1, "larger than every worker", []string{"job", "submit", "-job", "a", "-kind", "fleet-plan", "-cpu-milli", "90000", "-memory-mb", "10"}},
			{1, "no job nobody", []string{"job", "show", "nobody"}},
			{0, "", []string{"-h"}},
			{0, "check a configuration", []string{"check", "-h"}},
			{0, "-run-ms", []string{"job", "submit", "-h"}},
		} {
			output, err := s.RunBeryl(s.ctx, tc.args...)
			code := 0
			if err != nil {
				code = exitCode(err)
			}
			if code != tc.wantCode || !strings.Contains(output, tc.wantText) {
				s.Errorf("beryl %v: got exit code %d, want %d; got output %q, want it to contain %q", tc.args, code, tc.wantCode, output, tc.wantText)
			}
		}
		s.checkBadSettings()
		s.checkBadRequests()
	},
}

func (s *Scene) checkBadSettings() {
	for _, program := range []string{"entry", "agent", "stand", "load"} {
		output, err := exec.CommandContext(s.ctx, filepath.Join(binDir(s.T), program), "-settings", s.writeTempFile(`{"nope": 1}`)).CombinedOutput()
		if exitCode(err) != 2 || !strings.Contains(string(output), "additional properties 'nope'") {
			s.Errorf("%s with the unknown setting 'nope': want exit code 2 and a message that names it, got %v, %s", program, err, output)
		}
	}
}

func (s *Scene) checkBadRequests() {
	for _, tc := range []struct {
		header, value string
		wantStatus    int
		wantText      string
	}{
		{"Beryl-Service", "nobody", http.StatusNotFound, "not in the configuration"},
		{"Beryl-Deadline-Ms", "soon", http.StatusBadRequest, "Beryl-Deadline-Ms"},
		{"Beryl-Repeatable", "maybe", http.StatusBadRequest, "Beryl-Repeatable"},
	} {
		q, err := http.NewRequestWithContext(s.ctx, http.MethodPost, "http://"+s.Entries()[0].Listen+"/", nil)
		s.requireNoError(err)
		q.Header.Set("Beryl-Service", "booking-desk")
		q.Header.Set(tc.header, tc.value)
		res, err := http.DefaultClient.Do(q)
		s.requireNoError(err)
		body := make([]byte, 512)
		n, _ := res.Body.Read(body)
		res.Body.Close()
		if res.StatusCode != tc.wantStatus || !strings.Contains(string(body[:n]), tc.wantText) || res.Header.Get("Beryl-Outcome") != "not-run" {
			s.Errorf("request with header %s: %s: got status %d, outcome %q, body %q, want the status and text of its table row and outcome not-run", tc.header, tc.value, res.StatusCode, res.Header.Get("Beryl-Outcome"), body[:n])
		}
	}
}

var traceShowsTheWay = Scenario{
	Name:        "TraceShowsTheWay",
	Description: "one trace holds a span for each hop of a request: entry, call of the agent, agent, call of the backend",
	Setup: func(p *stage.Plan) {
		p.EntryOverrides = map[string]any{"trace": "stdout"}
		p.AgentOverrides = map[string]any{"trace": "stdout"}
	},
	Run: func(s *Scene) {
		const trace = "4bf92f3577b34da6a3ce929d0e0e4736"
		q, err := http.NewRequestWithContext(s.ctx, http.MethodPost, "http://"+s.Entries()[0].Listen+"/", strings.NewReader("x"))
		s.requireNoError(err)
		q.Header.Set("Beryl-Service", "booking-desk")
		q.Header.Set("Traceparent", "00-"+trace+"-00f067aa0ba902b7-01")
		res, err := http.DefaultClient.Do(q)
		s.requireNoError(err)
		res.Body.Close()
		for _, span := range []string{"entry request", "agent call", "agent request", "backend call"} {
			s.requireNoError(stage.WaitUntil(s.ctx, 10*time.Second, "span "+span, func() bool { return s.hasSpan(span, trace) }))
		}
	},
}

func (s *Scene) hasSpan(name, trace string) bool {
	for _, process := range []string{"entry-1", "worker-1", "worker-2", "worker-3", "worker-4", "worker-5", "worker-6"} {
		for line := range strings.SplitSeq(s.Log(process), "\n") {
			if strings.Contains(line, `"`+name+`"`) && strings.Contains(line, trace) {
				return true
			}
		}
	}
	return false
}
