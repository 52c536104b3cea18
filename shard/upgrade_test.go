package shard_test

import (
	"testing"
	"time"

	"github.com/berylspar/spar/shard"
	"github.com/vmihailenco/msgpack/v5"
)

// earlierProgress is the stored progress as builds before the crash histories read
// and write it.
type earlierProgress struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	State    string
	Begun    bool
	Occurs   []struct {
		_msgpack struct{} `msgpack:",as_array"`
		Number   int
		Tasks    []struct {
			_msgpack struct{} `msgpack:",as_array"`
			Step     int
			Index    int
			Done     bool
			Last     int64
			Failed   []int64
			Saved    string
			Runs     []struct {
				_msgpack struct{} `msgpack:",as_array"`
				Number   int64
				Node     string
				Life     string
				Born     int64
			}
		}
	}
}

// In a rolling upgrade owners of two builds read each other's records. The earlier
// build must read the progress of a job with crashes, and what it has written must
// not take the crashes away.
func TestCrashesLastThroughAnOwnerOfTheEarlierBuild(t *testing.T) {
	h := newHarness(t)
	h.connect("n1")
	h.connect("n2")
	h.submit("j1", "checks", shortStep(1))
	node, o := h.onlyStart(h.nextStarts())
	h.crash(node, lostAt(o, crashAge))
	h.nextStarts()
	var p earlierProgress
	if err := msgpack.Unmarshal(h.state["j1"], &p); err != nil {
		t.Fatal(err)
	}
	if p.State != string(shard.Queued) || len(p.Occurs) != 1 || len(p.Occurs[0].Tasks) != 1 || p.Occurs[0].Tasks[0].Last != 2 || len(p.Occurs[0].Tasks[0].Runs) != 1 {
		t.Fatalf("the earlier build reads %+v", p)
	}
	value, err := msgpack.Marshal(&p)
	if err != nil {
		t.Fatal(err)
	}
	h.state["j1"] = value
	h.replaceOwner(10 * time.Second)
	h.connect("n1")
	h.connect("n2")
	node, o = h.onlyStart(h.nextStarts())
	if o.Run != 3 {
		t.Fatalf("run %d is ordered, want 3", o.Run)
	}
	h.crash(node, lostAt(o, crashAge))
	h.runCycle()
	h.expectState("j1", shard.Failed)
}

// An owner of the earlier build drops a job without the record of its crashes. The
// next owner must drop that too, or it stays for ever.
func TestCrashesOfADroppedJobAreDropped(t *testing.T) {
	h := newHarness(t)
	h.connect("n1")
	h.submit("j1", "checks", shortStep(1))
	node, o := h.onlyStart(h.nextStarts())
	h.crash(node, lostAt(o, crashAge))
	h.runCycle()
	delete(h.state, "j1")
	delete(h.jobs, "j1")
	if len(h.state) != 1 {
		t.Fatalf("stored: %v", h.state)
	}
	h.replaceOwner(time.Second)
	h.runCycle()
	if len(h.state) != 0 {
		t.Fatalf("left: %v", h.state)
	}
}
