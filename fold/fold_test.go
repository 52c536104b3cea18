package fold

import (
	"fmt"
	"testing"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/wire"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"
)

// recordGen draws records about few names, so that they conflict.
type recordGen struct {
	t       *rapid.T
	state   *State
	records int
}

func (g *recordGen) name(kind string, n int) string {
	return fmt.Sprintf("%s%d", kind, rapid.IntRange(1, n).Draw(g.t, kind))
}

func (g *recordGen) taskRef() *wire.TaskRef {
	r := &wire.TaskRef{Job: g.name("j", 3), Index: uint32(rapid.IntRange(0, 2).Draw(g.t, "index"))}
	if _, t := g.state.task(r); t != nil {
		r.Attempt = t.attempt + uint32(rapid.IntRange(0, 1).Draw(g.t, "attempt"))
	}
	return r
}

func (g *recordGen) record() *wire.Record {
	g.records++
	r := &wire.Record{Id: fmt.Appendf(nil, "r%d", g.records), By: g.name("e", 3)}
	switch rapid.IntRange(0, 16).Draw(g.t, "body") {
	case 0, 1:
		r.Body = &wire.Record_Submit{Submit: &wire.Spec{Job: g.name("j", 3), Team: "t", Tasks: uint32(rapid.IntRange(0, 3).Draw(g.t, "tasks")), Size: &wire.Size{CpuMilli: 100}, Repeatable: rapid.Bool().Draw(g.t, "repeatable")}}
	case 2, 3, 4:
		r.Body = &wire.Record_Claim{Claim: &wire.Claim{Task: g.taskRef(), Worker: "w", Session: g.name("s", 3)}}
	case 5:
		r.Body = &wire.Record_End{End: &wire.End{Task: g.taskRef(), Ok: rapid.Bool().Draw(g.t, "ok")}}
	case 6, 7:
		r.Body = &wire.Record_Evict{Evict: &wire.Evict{Task: g.taskRef(), Checkpoint: g.name("c", 9), ProgressMs: int64(g.records)}}
	case 8:
		r.Body = &wire.Record_Cancel{Cancel: &wire.Cancel{Job: g.name("j", 3)}}
	case 9:
		r.Body = &wire.Record_Fence{Fence: &wire.Fence{Session: g.name("s", 3)}}
	case 10:
		r.Body = &wire.Record_Lapse{Lapse: &wire.Lapse{Session: g.name("s", 3)}}
	case 11:
		r.Body = &wire.Record_Register{Register: &wire.Register{Entry: g.name("e", 3)}}
	case 12:
		r.Body = &wire.Record_Expel{Expel: &wire.Expel{Entry: g.name("e", 3)}}
	case 13:
		r.Body = &wire.Record_Configure{Configure: &wire.Configure{Base: g.state.config.revision - int64(rapid.IntRange(0, 1).Draw(g.t, "behind")), Body: []byte("{}")}}
	case 14:
		r.Body = &wire.Record_Once{Once: &wire.Once{Key: g.name("k", 2)}}
	case 15:
		s := &wire.Settle{Key: g.name("k", 2), Status: 200, NotRun: rapid.Bool().Draw(g.t, "not run")}
		if o := g.state.onces[s.Key]; o != nil {
			s.Holder = o.id
		}
		r.Body = &wire.Record_Settle{Settle: s}
	case 16:
		r.Body = &wire.Record_Forget{Forget: &wire.Forget{Fact: JobFact(g.name("j", 3))}}
	}
	return r
}

// claimModel tracks the attempts of each task independently of State.
type claimModel struct {
	open   map[string]uint32
	newest map[string]uint32
	ended  map[string]bool
}

// check fails the test if a valid record breaks the rules for claims: at most one
// open attempt per task, increasing attempt numbers, and no claim after a
// successful end.
func (c *claimModel) check(t *rapid.T, r *wire.Record, s *State) {
	if claim := r.GetClaim(); claim != nil {
		id := claim.GetTask().ID()
		if n, ok := c.open[id.Task()]; ok {
			t.Fatalf("claim of %s is valid while attempt %d is open", id, n)
		}
		if id.Attempt <= c.newest[id.Task()] || c.ended[id.Task()] {
			t.Fatalf("claim of %s is valid after attempt %d, ended %v", id, c.newest[id.Task()], c.ended[id.Task()])
		}
		c.open[id.Task()], c.newest[id.Task()] = id.Attempt, id.Attempt
		return
	}
	if e := r.GetEnd(); e != nil {
		delete(c.open, e.GetTask().ID().Task())
		c.ended[e.GetTask().ID().Task()] = e.GetOk()
	}
	if e := r.GetEvict(); e != nil {
		delete(c.open, e.GetTask().ID().Task())
	}
	if l := r.GetLapse(); l != nil {
		if f, ok := s.Fence(l.GetSession()); !ok || !f.IsLapsed() {
			t.Fatalf("lapse of %s is valid without a fence", l.GetSession())
		}
		for task := range c.open {
			c.removeClosed(task, s)
		}
	}
	if f := r.GetForget(); f != nil {
		c.forget(f.GetFact(), s)
	}
}

func (c *claimModel) removeClosed(task string, s *State) {
	for _, id := range s.Jobs() {
		j := s.Job(id)
		for i := range j.Len() {
			n := j.Task(i)
			if key := (spar.TaskID{Job: id, Index: uint32(i)}).Task(); key == task && n.Phase() != wire.Phase_PHASE_RUNNING {
				delete(c.open, task)
			}
		}
	}
}

func (c *claimModel) forget(fact string, _ *State) {
	for i := range uint32(3) {
		key := spar.TaskID{Job: fact[2:], Index: i}.Task()
		delete(c.open, key)
		delete(c.newest, key)
		delete(c.ended, key)
	}
}

// Guards against two valid claims of a task at the same time, and against a
// configuration that returns to an earlier revision.
func TestOneOpenAttemptATask(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewState(0, nil)
		g := &recordGen{t: t, state: s}
		c := &claimModel{open: map[string]uint32{}, newest: map[string]uint32{}, ended: map[string]bool{}}
		revision := int64(0)
		for i := range int64(rapid.IntRange(1, 120).Draw(t, "records")) {
			r := g.record()
			if o := s.Apply(i, []*wire.Record{r})[0]; o.IsValid() {
				c.check(t, r, s)
			}
			if s.config.revision < revision {
				t.Fatalf("configuration revision went from %d to %d", revision, s.config.revision)
			}
			revision = s.config.revision
		}
	})
}

// Guards against readers that disagree: one that starts from a snapshot must
// give each later record the same outcome, and reach the same state, as one that
// read the log from its start.
func TestReadersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		full := NewState(0, nil)
		g := &recordGen{t: t, state: full}
		n := rapid.IntRange(2, 80).Draw(t, "records")
		snapshotAt := int64(rapid.IntRange(0, n-1).Draw(t, "snapshot"))
		var restored *State
		for i := range int64(n) {
			r := g.record()
			if i == snapshotAt {
				restored = Restore(roundTrip(t, full.Snapshot()), nil)
			}
			a := full.Apply(i, []*wire.Record{r})[0]
			if restored == nil {
				continue
			}
			if b := restored.Apply(i, []*wire.Record{r})[0]; a != b {
				t.Fatalf("record %d: %q for the full reader, %q for the restored one", i, a.Reason(), b.Reason())
			}
		}
		if a, b := full.Snapshot(), restored.Snapshot(); !proto.Equal(a, b) {
			t.Fatalf("full reader %v, restored reader %v", a, b)
		}
	})
}

func roundTrip(t *rapid.T, n *wire.Snapshot) *wire.Snapshot {
	data, err := proto.Marshal(n)
	if err != nil {
		t.Fatal(err)
	}
	var out wire.Snapshot
	if err := proto.Unmarshal(data, &out); err != nil {
		t.Fatal(err)
	}
	return &out
}

// Guards against an index that differs from the jobs, by comparing it with a
// scan of all jobs after random records.
func TestIndexMatchesJobs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewState(0, nil)
		g := &recordGen{t: t, state: s}
		for i := range int64(rapid.IntRange(1, 100).Draw(t, "records")) {
			s.Apply(i, []*wire.Record{g.record()})
		}
		running, usage := 0, spar.Size{}
		for _, id := range s.Jobs() {
			j := s.Job(id)
			running += j.Count(wire.Phase_PHASE_RUNNING)
			for i := range j.Len() {
				n := j.Task(i)
				if n.Phase() == wire.Phase_PHASE_RUNNING {
					usage = usage.Add(j.Spec().GetSize().Spar())
					if !s.IsRunning(n.Session(), spar.TaskID{Job: id, Index: uint32(i), Attempt: n.Attempt()}) {
						t.Fatalf("task %s/%d is not in the index", id, i)
					}
				}
			}
		}
		indexed := 0
		for _, k := range s.Sessions() {
			indexed += len(s.Running(k))
		}
		if indexed != running || s.Usage("t") != usage {
			t.Fatalf("%d tasks run and %d are indexed; usage %s and %s", running, indexed, usage, s.Usage("t"))
		}
	})
}

// FuzzApply applies any records that can be decoded, and restores a snapshot of
// the result. Neither may panic.
func FuzzApply(f *testing.F) {
	seed := &wire.Batch{Records: []*wire.Record{
		{Id: []byte("a"), Body: &wire.Record_Submit{Submit: &wire.Spec{Job: "j", Tasks: 2, Size: &wire.Size{CpuMilli: 1}}}},
		{Id: []byte("b"), Body: &wire.Record_Claim{Claim: &wire.Claim{Task: &wire.TaskRef{Job: "j", Attempt: 1}, Session: "s"}}},
		{Id: []byte("c"), Body: &wire.Record_Part{Part: &wire.Part{Count: 1}}},
		{Id: []byte("d"), Body: &wire.Record_Forget{Forget: &wire.Forget{Fact: "x"}}},
	}}
	data, err := proto.Marshal(seed)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte{0xff, 0x01})
	f.Fuzz(func(_ *testing.T, data []byte) {
		var b wire.Batch
		if proto.Unmarshal(data, &b) != nil {
			return
		}
		s := NewState(0, nil)
		for i, r := range b.GetRecords() {
			s.Apply(int64(i), []*wire.Record{r})
		}
		Restore(s.Snapshot(), nil)
	})
}
