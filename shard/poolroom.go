package shard

import (
	"time"

	"github.com/berylspar/spar/triage"
)

// poolRoomTime is the time over which the room of a pool is averaged. Within it most
// of a pool's tasks end and others take their place.
const poolRoomTime = time.Second

// poolRoom is the number of processors that the tasks of a pool had while more waited.
type poolRoom struct {
	processors float64
	at         time.Time
	// short is set while more waits than there is room for, and waiting is the best
	// prospect of what waits.
	short   bool
	waiting triage.Prospect
}

// pool is the room that a step draws on.
func (s *step) pool() triage.Pool {
	return triage.Pool{Service: s.job.policy.Service, Fills: s.Fills}
}

// observeRoom updates the room of all pools after a plan. short holds those without room
// for some steps, with the best prospect of these.
func (sc *Scheduler) observeRoom(short map[triage.Pool]triage.Prospect, now time.Time) {
	used := map[triage.Pool]float64{}
	for _, c := range sc.pool {
		used[triage.Pool{Service: c.info.Service}] += float64(c.reserved.CPUMilli-c.servingCPU) / 1000
		used[triage.Pool{Service: c.info.Service, Fills: true}] += float64(c.fillCPU) / 1000
	}
	for pool, processors := range used {
		room := sc.poolRooms[pool]
		if room.short {
			share := min(now.Sub(room.at).Seconds()/poolRoomTime.Seconds(), 1)
			room.processors += share * (processors - room.processors)
		} else {
			room.processors = max(room.processors, processors)
		}
		room.waiting, room.short = short[pool]
		room.at = now
		sc.poolRooms[pool] = room
	}
}

// knownRoom returns the room of the pools in which more waits than there is room for.
func (sc *Scheduler) knownRoom() triage.Room {
	var out triage.Room
	for pool, r := range sc.poolRooms {
		if r.short {
			if out == nil {
				out = triage.Room{}
			}
			out[pool] = r.processors
		}
	}
	return out
}

// leavesSlack reports whether a fill of a step has to leave slack that is too little for
// full pace to others, which wait and gain more from completion.
func (sc *Scheduler) leavesSlack(s *step) bool {
	room := sc.poolRooms[s.pool()]
	return room.short && room.waiting < s.occurrence.prospect
}
