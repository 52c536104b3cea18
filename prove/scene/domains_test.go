package scene

import (
	"strings"
	"time"

	"github.com/berylspar/spar/load/drive"
	"github.com/berylspar/spar/prove/fault"
	"github.com/berylspar/spar/prove/stage"
)

var domainClosedWhileCut = Scenario{
	Name:        "DomainClosedWhileCut",
	Description: "a domain is closed while its agents receive no responses from entries and urgent work is submitted throughout; nothing starts there after 3 s, not even when an agent is restarted",
	Run: func(s *Scene) {
		s.submitJobs("fleet-plan", 2, 4, time.Second)
		isHaskovoToEntry := func(link string) bool {
			from, _, _ := strings.Cut(link, ">")
			return s.domainOf(from) == "haskovo" && strings.Contains(link, ">entry")
		}
		s.net.SetRules(fault.Rules{DropResponses: true}, isHaskovoToEntry)
		closedAt := s.platformTime()
		output, err := s.RunBeryl(s.ctx, "domain", "close", "haskovo")
		if err != nil && !strings.Contains(output, "accepted") {
			s.Fatal(err)
		}
		s.closures = append(s.closures, stage.Closure{Domain: "haskovo", From: closedAt})
		for range 8 {
			s.pause(500 * time.Millisecond)
			s.submitJob("urgent-plan")
		}
		for _, a := range s.Agents() {
			if a.Domain == "haskovo" {
				s.Proc(a.Worker).Kill()
				s.requireNoError(s.Start("agent", a.Worker))
			}
		}
		for range 4 {
			s.pause(500 * time.Millisecond)
			s.submitJob("urgent-plan")
		}
		s.net.SetRules(fault.Rules{}, isHaskovoToEntry)
		s.pause(4 * time.Second)
	},
}

func (s *Scene) submitJob(kind string) {
	s.requireNoError(s.Submit(s.ctx, 0, kind+"-"+s.platformTime().String(), kind, 2, 500*time.Millisecond))
}

var domainGone = Scenario{
	Name:        "DomainGone",
	Description: "all processes of a domain are killed at once under load and restarted; requests are served and jobs finish without an operator's action",
	Run: func(s *Scene) {
		jobs := s.submitJobs("fleet-plan", 4, 4, 5*time.Second)
		loadReport := s.startLoad(drive.Settings{Targets: s.ListenAddresses()[1:], Repeatable: true}, 15*time.Second)
		s.awaitRunningWorker()
		var killed []string
		for _, a := range s.Agents() {
			if a.Domain == "plovdiv" {
				killed = append(killed, a.Worker)
			}
		}
		for _, w := range killed {
			s.Proc(w).Kill()
		}
		s.Proc("entry-1").Kill()
		s.pause(8 * time.Second)
		s.requireNoError(s.Start("entry", "entry-1"))
		for _, w := range killed {
			s.requireNoError(s.Start("agent", w))
		}
		s.awaitDone(1, jobs, 60*time.Second)
		report := <-loadReport
		if notDone := report.Sent - report.Done; notDone*100 > report.Sent {
			s.Errorf("requests during the loss of a domain: want at most 1%% not done, got %+v", report)
		}
		if report.Crossed > 0 {
			s.Errorf("requests during the loss of a domain: want no crossed response, got %d", report.Crossed)
		}
		s.mayRepeat = func(string) bool { return true }
	},
}
