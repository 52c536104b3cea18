package soak_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/berylspar/spar/link"
)

var other = flag.String("other", "", "folder with the programs entry and agent of another build")

const (
	upgradeEntries = 3
	upgradeAgents  = 4
	// mixedTime is how long callers submit jobs to a deployment of two builds
	// that does not change: several lifetimes of a job.
	mixedTime = 8 * time.Second
	// stepPause is how long a deployment stays as it is after each process that
	// was replaced, so that jobs begin and end in every mixture of builds.
	stepPause = time.Second
	// stepTime is how long an owner may take to serve all agents after one
	// process was replaced.
	stepTime = 20 * time.Second
	// stateTopic holds the progress of jobs that an owner stores for the next.
	stateTopic = "state"
	// tokenBits are the low bits of a fencing token, which count the sessions of
	// an owner; the others are the owner's epoch (entry/owner).
	tokenBits = 20
)

// requireOther skips the test without another build, and fails it when the
// folder lacks a program.
func requireOther(t *testing.T) {
	t.Helper()
	if *other == "" {
		t.Skip("needs the flag -other with the folder of another build's programs")
	}
	for _, program := range []string{"entry", "agent"} {
		if _, err := os.Stat(filepath.Join(*other, program)); err != nil {
			t.Fatalf("-other %s: %v", *other, err)
		}
	}
}

func newUpgrade(t *testing.T, seed uint64, from folders) (*deployment, *callers) {
	d := newDeployment(t, upgradeEntries, upgradeAgents, rand.New(rand.NewPCG(seed, 23)), from)
	t.Logf("logs in %s", d.dir)
	d.awaitReady()
	d.awaitServed()
	return d, d.startCallers()
}

// Entries of one build serve agents of another: a message between them that one
// build encodes and the other does not understand would keep jobs from ending.
func TestEntriesAndAgentsOfDifferentBuilds(t *testing.T) {
	requireOther(t)
	for _, c := range []struct {
		name string
		from folders
	}{
		{"old entries with new agents", folders{entry: *other, agent: builtFolder}},
		{"new entries with old agents", folders{entry: builtFolder, agent: *other}},
	} {
		t.Run(c.name, func(t *testing.T) {
			d, callers := newUpgrade(t, 1, c.from)
			for end := time.Now().Add(mixedTime); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
				d.expectNoViolations()
			}
			d.finish(callers)
			d.expectStarts(d.entries, c.from.entry)
			d.expectStarts(d.agents, c.from.agent)
		})
	}
}

// Every process is replaced by one of the new build while callers submit jobs,
// then by one of the old build again. Each owner reads the progress that an owner
// of the other build stored; one that can't would lose jobs or repeat tasks.
func TestRollingUpgradeAndBack(t *testing.T) {
	requireOther(t)
	for _, c := range []struct {
		name  string
		order func(d *deployment) []*process
	}{
		{"entries first", func(d *deployment) []*process { return slices.Concat(d.entries, d.agents) }},
		{"agents first", func(d *deployment) []*process { return slices.Concat(d.agents, d.entries) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			d, callers := newUpgrade(t, 2, folders{entry: *other, agent: *other})
			all := c.order(d)
			for _, folder := range []string{builtFolder, *other} {
				for _, p := range all {
					d.replace(p, folder)
				}
			}
			d.finish(callers)
			d.expectStarts(all, *other, builtFolder, *other)
			d.expectOwnerChange(*other, builtFolder)
			d.expectOwnerChange(builtFolder, *other)
		})
	}
}

// replace stops a process by plan and starts it from a folder, while jobs are in
// progress, and waits until the deployment is whole again.
func (d *deployment) replace(p *process, folder string) {
	d.t.Helper()
	d.await("progress of a job in the store", func() error {
		if len(d.store.Newest(stateTopic).Records) == 0 {
			return fmt.Errorf("topic %s is empty", stateTopic)
		}
		return nil
	})
	before := p.token.Load()
	d.log("replace %s by the program in %s", p.name, folder)
	p.stop()
	p.setFolder(folder)
	p.start()
	d.awaitReady()
	d.awaitServed()
	if p.program == "agent" {
		d.await(p.name+" in a session", func() error {
			if now := p.token.Load(); now <= before {
				return fmt.Errorf("token %d, before the stop %d", now, before)
			}
			return nil
		})
	}
	time.Sleep(stepPause)
	d.expectNoViolations()
}

// finish ends the callers, expects what a whole deployment guarantees and stops
// all processes by plan.
func (d *deployment) finish(c *callers) {
	d.t.Helper()
	d.awaitReady()
	c.stop()
	c.expectAllEnded(endTimeout)
	d.expectConfigured(c)
	for _, p := range slices.Concat(d.agents, d.entries) {
		p.stop()
	}
	d.expectNoViolations()
}

// expectConfigured expects each entry to answer for an accepted job under the
// route of the configuration. Without a configuration an entry answers 503, without the
// route 404.
func (d *deployment) expectConfigured(c *callers) {
	d.t.Helper()
	id := c.accepted[len(c.accepted)-1]
	for i := range d.entries {
		d.await(fmt.Sprintf("configuration in force at an entry (call %d)", i), func() error {
			if code, text := c.call(i, http.MethodGet, id, nil); code != http.StatusOK {
				return fmt.Errorf("status %d: %s", code, text)
			}
			return nil
		})
	}
}

// term is one term of an owner.
type term struct {
	epoch  int64
	name   string
	folder string
	// ended is whether the process that the term belonged to was stopped.
	ended bool
}

// terms returns the terms that began, by the records that owners store of where
// they are. The texts of logs differ between builds; these records don't.
func (d *deployment) terms() []term {
	d.t.Helper()
	b, _, err := d.store.Read(link.OwnerTopic, 0)
	if err != nil {
		d.t.Fatalf("read the owner topic: %v", err)
	}
	var out []term
	for offset, r := range b.Records {
		if r.Key != link.OwnerKey {
			continue
		}
		rec, err := link.DecodeEntryRecord(r.Value)
		if err != nil {
			d.t.Fatalf("owner record at offset %d: %v", offset, err)
		}
		i := slices.IndexFunc(d.entries, func(p *process) bool { return p.admin == rec.PeerAddress })
		if i < 0 {
			d.t.Fatalf("owner record at offset %d is of no entry: %+v", offset, rec)
		}
		e, starts := d.entries[i], d.entries[i].history()
		n := len(starts) - 1
		for n > 0 && starts[n].offset > int64(offset) {
			n--
		}
		out = append(out, term{epoch: rec.Epoch, name: e.name, folder: starts[n].folder, ended: n < len(starts)-1})
	}
	return out
}

// awaitServed waits until the newest owner is a process that runs and has a
// session with every agent.
func (d *deployment) awaitServed() {
	d.t.Helper()
	d.await("an owner that serves all agents", func() error {
		terms := d.terms()
		if len(terms) == 0 {
			return fmt.Errorf("no term has begun")
		}
		last := terms[len(terms)-1]
		if last.ended {
			return fmt.Errorf("the newest owner, %s of epoch %d, was stopped", last.name, last.epoch)
		}
		for _, a := range d.agents {
			if epoch := a.token.Load() >> tokenBits; epoch < last.epoch {
				return fmt.Errorf("%s serves epoch %d, the owner %s has epoch %d", a.name, epoch, last.name, last.epoch)
			}
		}
		return nil
	})
}

func (d *deployment) await(what string, check func() error) {
	d.t.Helper()
	for end := time.Now().Add(stepTime); ; time.Sleep(20 * time.Millisecond) {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(end) {
			d.t.Fatalf("%s: not reached after %s: %v", what, stepTime, err)
		}
	}
}

// expectStarts expects each process to have been started from these folders, one
// after the other.
func (d *deployment) expectStarts(processes []*process, want ...string) {
	d.t.Helper()
	for _, p := range processes {
		var got []string
		for _, s := range p.history() {
			got = append(got, s.folder)
		}
		if !slices.Equal(got, want) {
			d.t.Errorf("%s was started from %v, want %v", p.name, got, want)
		}
	}
}

// expectOwnerChange expects a term of a program from one folder to be followed by
// one of a program from another.
func (d *deployment) expectOwnerChange(from, to string) {
	d.t.Helper()
	terms := d.terms()
	for i := 1; i < len(terms); i++ {
		if a, b := terms[i-1], terms[i]; a.folder == from && b.folder == to {
			d.log("owner changed from %s (%s, epoch %d) to %s (%s, epoch %d)", a.name, from, a.epoch, b.name, to, b.epoch)
			return
		}
	}
	d.t.Errorf("no owner from %s was followed by one from %s: %+v", from, to, terms)
}
