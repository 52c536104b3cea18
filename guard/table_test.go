package guard

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Answers any crowd: whatever connections do, their sum stays within the limits, none
// that is handled is closed, and an ordinary request finds room once nothing is handled.
func TestTableStaysWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit, most = 100 * openBytes, 12
		table, now := NewTable(limit), time.Duration(0)
		var open []*Entry
		end := func(e *Entry) {
			if e == nil {
				return
			}
			if e.phase == Handled || e.phase == Session {
				t.Fatalf("closed a connection in phase %d", e.phase)
			}
			table.Remove(e)
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
			e, victim, _ := table.Add(Callers, most, now)
			end(victim)
			if e != nil {
				open = append(open, e)
			}
			e = rapid.SampledFrom(append(open, &Entry{evicted: true, removed: true})).Draw(t, "connection")
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				_, victims := table.Reserve(e, rapid.IntRange(1, limit/2).Draw(t, "bytes"), now)
				for _, v := range victims {
					end(v)
				}
			case 1:
				table.Move(e, rapid.SampledFrom([]Phase{Reading, Handled, Answering, Idle, Session}).Draw(t, "phase"), now)
			case 2:
				table.Release(e, rapid.IntRange(0, e.bytes).Draw(t, "returned"))
			case 3:
				table.Remove(e)
				table.Release(e, openBytes)
			}
			if table.Open() > most || table.Used() > limit || table.leaving != 0 {
				t.Fatalf("%d connections, %d bytes, %d of them leaving", table.Open(), table.Used(), table.leaving)
			}
		}
		for _, e := range open {
			table.Move(e, Reading, now)
		}
		now += time.Minute
		var e, victim *Entry
		for again := true; again; {
			e, victim, again = table.Add(Callers, most, now)
			end(victim)
		}
		ok, victims := table.Reserve(e, openBytes, now)
		for _, v := range victims {
			end(v)
		}
		if !ok {
			ok, _ = table.Reserve(e, openBytes, now)
		}
		if !ok {
			t.Fatal("no room beside stalled requests")
		}
	})
}

// Answers a crowd of slow bodies beside callers with kept connections: the slowest body
// ends first, and kept connections last.
func TestSlowestIsClosedFirst(t *testing.T) {
	table := NewTable(3*openBytes + 100)
	idle, _, _ := table.Add(Callers, 9, 0)
	table.Move(idle, Idle, 0)
	slow, _, _ := table.Add(Callers, 9, 0)
	table.Move(slow, Reading, time.Second)
	slower, _, _ := table.Add(Callers, 9, 0)
	table.Move(slower, Reading, time.Second/2)
	for i, want := range []*Entry{slower, slow, idle} {
		_, victims := table.Reserve(&Entry{}, 200, 2*time.Second)
		if len(victims) != 1 || victims[0] != want {
			t.Fatalf("closed %v in turn %d", victims, i)
		}
		table.used += openBytes
		table.Remove(want)
	}
}

// A body that has just begun keeps its bytes although there is no room.
func ExampleTable_Reserve() {
	table := NewTable(5 * openBytes)
	slow, _, _ := table.Add(Callers, 9, 0)
	table.Move(slow, Reading, 0)
	ok, _ := table.Reserve(slow, 3*openBytes, 0)
	fmt.Println(ok)
	other, _, _ := table.Add(Callers, 9, 50*time.Millisecond)
	ok, victims := table.Reserve(other, openBytes, 100*time.Millisecond)
	fmt.Println(ok, len(victims))
	_, victims = table.Reserve(other, openBytes, time.Second)
	fmt.Println(victims[0] == slow)
	table.Remove(slow)
	ok, _ = table.Reserve(other, openBytes, time.Second)
	fmt.Println(ok)
	// Output:
	// true
	// false 0
	// true
	// true
}

// Answers a crowd of large bodies that wait for room: a small request that waits beside
// them keeps its place.
func TestLargeStalledBodyIsClosedBeforeSmallOlderRequest(t *testing.T) {
	table := NewTable(20 * openBytes)
	small, _, _ := table.Add(Callers, 9, 0)
	table.Move(small, Reading, 0)
	large, _, _ := table.Add(Callers, 9, 0)
	table.Move(large, Reading, time.Second)
	table.Reserve(large, 17*openBytes, time.Second)
	_, victims := table.Reserve(small, 2*openBytes, 2*time.Second)
	if len(victims) != 1 || victims[0] != large {
		t.Errorf("closed %v", victims)
	}
}

// Answers a crowd of requests that are handled for long, as those of peers while the store
// is slow: closing the connections of others would not make room for one more.
func TestNothingIsClosedThatMakesNoRoom(t *testing.T) {
	table := NewTable(1 << 20)
	handled, _, _ := table.Add(Operators, 9, 0)
	table.Reserve(handled, 900<<10, 0)
	table.Move(handled, Handled, 0)
	idle, _, _ := table.Add(Callers, 9, 0)
	table.Move(idle, Idle, 0)
	waiting, _, _ := table.Add(Callers, 9, 0)
	table.Reserve(waiting, 20<<10, 0)
	table.Move(waiting, Waiting, 0)
	next, _, _ := table.Add(Callers, 9, 0)
	if ok, victims := table.Reserve(next, 1<<20/32, time.Minute); !ok && len(victims) > 0 || table.Open() != 4 {
		t.Errorf("%d connections closed, %d open, want 4", len(victims), table.Open())
	}
	if ok, victims := table.Reserve(next, 500<<10, time.Minute); ok || len(victims) > 0 {
		t.Errorf("ok %v with %d connections closed, want none", ok, len(victims))
	}
}
