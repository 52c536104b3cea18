package fold

import (
	"testing"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/wire"
)

// applyAll applies records in order and returns the last outcome.
func applyAll(s *State, records ...*wire.Record) Outcome {
	var o Outcome
	for _, r := range records {
		o = s.Apply(s.Next(), []*wire.Record{r})[0]
	}
	return o
}

func submit(repeatable bool) *wire.Record {
	return &wire.Record{Body: &wire.Record_Submit{Submit: &wire.Spec{Job: "j", Team: "t", Tasks: 1, Size: &wire.Size{}, Repeatable: repeatable}}}
}

func ref(attempt uint32) *wire.TaskRef { return &wire.TaskRef{Job: "j", Attempt: attempt} }

func claim(attempt uint32, session string) *wire.Record {
	return &wire.Record{Body: &wire.Record_Claim{Claim: &wire.Claim{Task: ref(attempt), Session: session, Worker: "w" + session}}}
}

func evict(attempt uint32, checkpoint string, lost int64) *wire.Record {
	return &wire.Record{Body: &wire.Record_Evict{Evict: &wire.Evict{Task: ref(attempt), Checkpoint: checkpoint, LostUs: lost}}}
}

func end(attempt uint32, ok bool) *wire.Record {
	return &wire.Record{Body: &wire.Record_End{End: &wire.End{Task: ref(attempt), Ok: ok}}}
}

func fenceAndLapse(session string) []*wire.Record {
	return []*wire.Record{
		{Body: &wire.Record_Fence{Fence: &wire.Fence{Session: session}}},
		{Body: &wire.Record_Lapse{Lapse: &wire.Lapse{Session: session}}},
	}
}

func requirePhase(t *testing.T, s *State, want wire.Phase) {
	t.Helper()
	n := s.Job("j").Task(0)
	if n.Phase() != want {
		t.Fatalf("phase %s, want %s", n.Phase(), want)
	}
}

// Guards against running a task twice that is not repeatable: its first attempt
// left a checkpoint, and its second one was lost after the work was done.
func TestLapseWithOlderCheckpointIsUnknown(t *testing.T) {
	s := NewState(0, nil)
	applyAll(s, submit(false), claim(1, "a"), evict(1, "c", 0), claim(2, "b"))
	applyAll(s, fenceAndLapse("b")...)
	requirePhase(t, s, wire.Phase_PHASE_UNKNOWN)
}

// Guards against repeating work of a task that is not repeatable, after an
// eviction that lost work done since the checkpoint.
func TestEvictionThatLostWorkIsUnknown(t *testing.T) {
	s := NewState(0, nil)
	applyAll(s, submit(false), claim(1, "a"), evict(1, "c", 5))
	requirePhase(t, s, wire.Phase_PHASE_UNKNOWN)
}

// Guards against repeating work that a disconnected worker has finished: its late
// report counts as long as no later attempt was claimed.
func TestLateReportAfterLapseCounts(t *testing.T) {
	for _, repeatable := range []bool{true, false} {
		s := NewState(0, nil)
		applyAll(s, submit(repeatable), claim(1, "a"))
		applyAll(s, fenceAndLapse("a")...)
		if o := applyAll(s, end(1, true)); !o.IsValid() {
			t.Fatalf("end after the lapse is void, want valid: %s", o.Reason())
		}
		requirePhase(t, s, wire.Phase_PHASE_DONE)
	}
}

// Guards against a late report that ends an attempt claimed after it.
func TestReportAfterLaterClaimIsVoid(t *testing.T) {
	s := NewState(0, nil)
	applyAll(s, submit(true), claim(1, "a"))
	applyAll(s, fenceAndLapse("a")...)
	applyAll(s, claim(2, "b"))
	if o := applyAll(s, end(1, true)); o.Reason() != spar.ReasonWrongAttempt {
		t.Fatalf("reason %q", o.Reason())
	}
	requirePhase(t, s, wire.Phase_PHASE_RUNNING)
}

// Guards against a task that is retried without end although each attempt
// crashes.
func TestTaskThatAlwaysCrashesIsSetAside(t *testing.T) {
	s := NewState(0, nil)
	applyAll(s, submit(true))
	for i := range uint32(MaxCrashes) {
		applyAll(s, claim(i+1, string(rune('a'+i))), end(i+1, false))
	}
	requirePhase(t, s, wire.Phase_PHASE_SET_ASIDE)
}

// Guards against a task that starts on a session whose leases have ended.
func TestClaimOnFencedSessionIsVoid(t *testing.T) {
	s := NewState(0, nil)
	applyAll(s, submit(true))
	applyAll(s, fenceAndLapse("a")...)
	if o := applyAll(s, claim(1, "a")); o.Reason() != spar.ReasonFenced {
		t.Fatalf("reason %q", o.Reason())
	}
}
