package owner

import (
	"context"
	"encoding/json"
	"net/url"
	"strconv"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/common"
	"github.com/berylspar/spar/shard"
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

const (
	// roomPath is where the owner reserves memory for a job.
	roomPath = "/room"
	// roomTimeout bounds the question for it.
	roomTimeout = 200 * time.Millisecond
	// reservationTime is how long a reservation lasts until the owner has read the job.
	reservationTime = 5 * time.Second
	// maxReservations bounds the reservations of an owner.
	maxReservations = 4096
	// maxRoomQuestions bounds the questions of an entry at a time. Those beyond it would
	// be asked to all entries when there is no room.
	maxRoomQuestions = 16
)

// ErrNoRoom means that the owner has no memory for a job. It comes together with
// spar.ErrRefused if no try of the job can have been stored, and else with spar.ErrUnknown.
var ErrNoRoom = errors.New("no memory for the job")

// roomReply is the owner's answer about the memory for a job.
type roomReply struct {
	Room    shard.Room `json:"room"`
	Granted bool       `json:"granted"`
}

// reservations are the jobs for which an owner has granted memory and which it has not read
// yet. The zero value is empty.
type reservations struct {
	byID map[string]reservation
}

type reservation struct {
	need  int64
	until time.Time
}

// sum returns the memory that is reserved for jobs that are not known yet.
func (r *reservations) sum(known func(id string) bool, now time.Time) int64 {
	var sum int64
	for id, e := range r.byID {
		if now.After(e.until) || known(id) {
			delete(r.byID, id)
			continue
		}
		sum += e.need
	}
	return sum
}

func (r *reservations) add(id string, need int64, now time.Time) {
	if r.byID == nil {
		r.byID = map[string]reservation{}
	}
	r.byID[id] = reservation{need, now.Add(reservationTime)}
}

// reserve reserves memory for a job, unless there is none.
func (t *term) reserve(id string, need int64) roomReply {
	now := time.Now()
	t.stateMu.Lock()
	defer t.stateMu.Unlock()
	known := func(id string) bool {
		_, ok := t.scheduler.JobState(id)
		return ok
	}
	out := roomReply{Room: t.scheduler.Room()}
	if known(id) {
		out.Granted = true
		return out
	}
	out.Room.Held += t.reservations.sum(known, now)
	if out.Granted = out.Room.Fits(need) && len(t.reservations.byID) < maxReservations; out.Granted {
		t.reservations.add(id, need, now)
		out.Room.Held += need
	}
	return out
}

// makeRoom finds out whether the owner has memory for a job before it is stored. An entry
// has an allowance for jobs that need little, so that they need not be asked about; for
// the others, and when the allowance is used up, the owner reserves memory.
func (c *Client) makeRoom(ctx context.Context, j *spar.Job) error {
	need := shard.LeastFootprint(j)
	// A job that may be stored already counts as its earlier try does.
	if c.Tried(j.ID) != NotTried || c.allowance.take(need, time.Now()) {
		return nil
	}
	select {
	case c.roomQuestions <- struct{}{}:
		defer func() { <-c.roomQuestions }()
	default:
		return errors.Mark(errors.Wrap(ErrNoRoom, "too many jobs are asked about"), spar.ErrUnknown)
	}
	r, err := c.askRoom(ctx, j.ID, need)
	if err == nil && r.Granted {
		return nil
	}
	c.Counter("jobs_without_memory").Inc(1)
	out := errors.Wrapf(ErrNoRoom, "%d bytes needed, %s (question failed: %v)", need, r.Room, err)
	if !c.isUntried(ctx, j.ID) {
		return errors.Mark(out, spar.ErrUnknown)
	}
	return errors.Mark(out, spar.ErrRefused)
}

// askRoom has the owner reserve memory for a job, and renews the allowance by its answer.
func (c *Client) askRoom(ctx context.Context, id string, need int64) (roomReply, error) {
	asked := time.Now()
	r, err := c.reserveAtOwner(ctx, id, need)
	if err != nil {
		return r, err
	}
	// Any entry may be the next owner, also one with less memory.
	if least := c.directory.LeastJobMemory(); least > 0 && least < r.Room.Capacity {
		r.Room.Capacity = least
		r.Granted = r.Granted && r.Room.Held <= r.Room.Capacity
	}
	c.allowance.renew(r.Room, len(c.directory.PeerAddresses()), asked)
	return r, nil
}

func (c *Client) reserveAtOwner(ctx context.Context, id string, need int64) (roomReply, error) {
	if t := c.candidate.servingTerm(); t != nil {
		return t.reserve(id, need), nil
	}
	var r roomReply
	owner := c.directory.Owner()
	if owner == nil || owner.PeerAddress == c.candidate.self.PeerAddress {
		return r, errors.Wrap(ErrUnreachable, "no other entry is known to be the owner")
	}
	path := roomPath + "?job=" + url.QueryEscape(id) + "&need=" + strconv.FormatInt(need, 10)
	code, body, err := c.candidate.peers.Call(fasthttp.MethodPost, owner.PeerAddress, path, nil, capToDeadline(ctx, roomTimeout))
	switch {
	case err != nil:
		return r, errors.Mark(err, ErrUnreachable)
	case code != fasthttp.StatusOK:
		return r, errors.Wrapf(ErrUnreachable, "owner at %s answered a question for memory with status %d", owner.PeerAddress, code)
	}
	return r, errors.Wrapf(json.Unmarshal(body, &r), "decode reply of owner at %s", owner.PeerAddress)
}

// answerRoom handles another entry's question for memory.
func (c *Candidate) answerRoom(rc *fasthttp.RequestCtx) {
	id := string(rc.QueryArgs().Peek("job"))
	need, err := strconv.ParseInt(string(rc.QueryArgs().Peek("need")), 10, 64)
	if err != nil || need <= 0 || id == "" {
		rc.Error("job, need: want the ID of a job and a number of bytes above 0", fasthttp.StatusBadRequest)
		return
	}
	t := c.servingTerm()
	if t == nil {
		rc.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	common.WriteJSON(rc, t.reserve(id, need))
}
