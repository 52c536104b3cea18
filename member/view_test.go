package member

import (
	"testing"
	"time"

	"github.com/berylspar/spar/fold"
	"github.com/berylspar/spar/lease"
	"github.com/berylspar/spar/wire"
)

func registerEntries(s *fold.State, entries ...string) {
	for _, e := range entries {
		s.Apply(s.Next(), []*wire.Record{{By: e, Body: &wire.Record_Register{Register: &wire.Register{Entry: e, Address: e}}}})
	}
}

// Guards against expelling an entry that has just registered: its silence must
// be counted from when its registration was read, not from when the other entry
// started.
func TestNewcomerIsNotSilent(t *testing.T) {
	now := time.Unix(1000, 0)
	v := NewView("a", lease.DefaultTerms())
	s := fold.NewState(0, nil)
	registerEntries(s, "a")
	v.ApplyState(s, now)
	now = now.Add(time.Hour)
	registerEntries(s, "b")
	v.ApplyState(s, now)
	if got := v.SilentFor("b", now.Add(time.Second)); got != time.Second {
		t.Fatalf("new entry is silent for %s, want 1s", got)
	}
}
