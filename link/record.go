package link

import (
	"github.com/berylspar/spar/codec"
	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// The topic and the keys under which the owner and all entries publish their
// addresses.
const (
	OwnerTopic = "owner"
	OwnerKey   = "owner"
	// EntryPrefix begins the keys under which entries publish their addresses,
	// whether they own the shard or not.
	EntryPrefix = "entry/"
)

// EntryRecord holds the addresses of an entry, under OwnerKey those of the owner.
type EntryRecord struct {
	// Epoch is the owner's epoch; the record with the highest one is valid.
	Epoch int64 `msgpack:"e"`
	// AgentAddress is the address that agents connect to.
	AgentAddress string `msgpack:"a"`
	// PeerAddress is the address that other entries call.
	PeerAddress string `msgpack:"p"`
	// Predecessors are the earlier owners that the owner has not asked about their
	// grants yet. Without ListsPredecessors nothing is known of them, since the record
	// is of a build that does not list them.
	Predecessors      []Predecessor `msgpack:"q,omitempty"`
	ListsPredecessors bool          `msgpack:"l,omitempty"`
	// Witnesses are the entries that the owner needs to grant leases after its term.
	Witnesses []string `msgpack:"w,omitempty"`
	// JobMemory is the memory in bytes that the entry has for jobs as the owner, or 0 if
	// that is not known.
	JobMemory int64 `msgpack:"m,omitempty"`
}

// Encode returns the stored form.
func (r EntryRecord) Encode() []byte {
	out, err := msgpack.Marshal(&r)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encode entry record"))
	}
	return out
}

// DecodeEntryRecord decodes the stored form.
func DecodeEntryRecord(value []byte) (EntryRecord, error) {
	r, err := codec.Decode[EntryRecord](value)
	return r, errors.Wrap(err, "decode entry record")
}
