package tail

import (
	"bytes"
	"context"
	"math"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/fold"
	"github.com/berylspar/spar/wire"
	"google.golang.org/protobuf/proto"
)

// MaxPartBytes is the size limit of the data in one part of a snapshot.
const MaxPartBytes = 32 << 10

// SplitSnapshot splits a snapshot into records of the entry by, which may be
// appended in any order.
func SplitSnapshot(by string, n *wire.Snapshot) ([]*wire.Record, error) {
	data, err := proto.Marshal(n)
	if err != nil {
		return nil, err
	}
	id := NewID()
	count := uint32((len(data) + MaxPartBytes - 1) / MaxPartBytes)
	var out []*wire.Record
	for i := range count {
		piece := data[int(i)*MaxPartBytes : min(int(i+1)*MaxPartBytes, len(data))]
		out = append(out, &wire.Record{Id: NewID(), By: by, Body: &wire.Record_Part{
			Part: &wire.Part{Snapshot: id, Offset: n.GetOffset(), Index: i, Count: count, Data: piece},
		}})
	}
	return out, nil
}

// Bounds returns the oldest retained offset of the log and its head, the offset of
// the next record.
func Bounds(ctx context.Context, l spar.Log) (oldest, head int64, err error) {
	p, err := l.Read(ctx, math.MaxInt64, 0)
	return p.Oldest, p.Head, err
}

// LoadState returns the state to start from: the empty state if the log still
// holds its first record, and otherwise that of the newest complete snapshot on
// the log, or nil if there is none. check is as in fold.NewState.
func LoadState(ctx context.Context, l spar.Log, check func([]byte) error) (*fold.State, error) {
	oldest, head, err := Bounds(ctx, l)
	if err != nil {
		return nil, err
	}
	if oldest == 0 {
		return fold.NewState(0, check), nil
	}
	s := &snapshotScan{partial: map[string][]*wire.Part{}}
	for from := oldest; from < head; {
		p, err := l.Read(ctx, from, time.Millisecond)
		if err != nil {
			return nil, err
		}
		for _, e := range p.Entries {
			s.addEntry(e, oldest)
			from = e.Offset + 1
		}
		if len(p.Entries) == 0 {
			break
		}
	}
	if s.newest == nil {
		return nil, nil
	}
	return fold.Restore(s.newest, check), nil
}

// snapshotScan collects the parts of snapshots by snapshot id, and the newest
// complete snapshot.
type snapshotScan struct {
	partial map[string][]*wire.Part
	newest  *wire.Snapshot
}

// addEntry adds the parts in a log entry. It ignores snapshots older than the
// oldest retained offset: the records that follow them are gone.
func (s *snapshotScan) addEntry(e spar.Entry, oldest int64) {
	var b wire.Batch
	if proto.Unmarshal(e.Data, &b) != nil {
		return
	}
	for _, r := range b.GetRecords() {
		if p := r.GetPart(); p != nil && p.GetOffset() >= oldest {
			s.addPart(p)
		}
	}
}

// addPart adds a part, and joins the snapshot once all of its parts are there. A
// part that was appended twice counts once.
func (s *snapshotScan) addPart(p *wire.Part) {
	id := string(p.GetSnapshot())
	for _, other := range s.partial[id] {
		if other.GetIndex() == p.GetIndex() || other.GetCount() != p.GetCount() {
			return
		}
	}
	s.partial[id] = append(s.partial[id], p)
	if len(s.partial[id]) < int(p.GetCount()) {
		return
	}
	if n := joinParts(s.partial[id]); n != nil && (s.newest == nil || n.GetOffset() > s.newest.GetOffset()) {
		s.newest = n
	}
	delete(s.partial, id)
}

// joinParts returns the snapshot made of parts, or nil if they don't fit together
// or can't be decoded.
func joinParts(parts []*wire.Part) *wire.Snapshot {
	pieces := make([][]byte, len(parts))
	for _, p := range parts {
		if int(p.GetIndex()) >= len(parts) {
			return nil
		}
		pieces[p.GetIndex()] = p.GetData()
	}
	var n wire.Snapshot
	if proto.Unmarshal(bytes.Join(pieces, nil), &n) != nil {
		return nil
	}
	return &n
}
