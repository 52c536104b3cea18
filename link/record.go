package link

import (
	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// The topic and the keys under which an owner and all entries tell where they
// are.
const (
	OwnerTopic = "owner"
	OwnerKey   = "owner"
	// EntryPrefix begins the keys under which entries tell where they are.
	EntryPrefix = "entry/"
)

// Record tells where the owner of the shard is.
type EntryRecord struct {
	// Epoch is the owner's; the highest holds.
	Epoch int64 `msgpack:"e"`
	// Agents is the address that agents connect to.
	AgentAddress string `msgpack:"a"`
	// Peers is the address that other entries ask.
	PeerAddress string `msgpack:"p"`
}

// Encode returns the stored form.
func (r EntryRecord) Encode() []byte {
	out, err := msgpack.Marshal(&r)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "owner record"))
	}
	return out
}

// DecodeRecord reads the stored form.
func DecodeEntryRecord(value []byte) (EntryRecord, error) {
	var r EntryRecord
	err := msgpack.Unmarshal(value, &r)
	return r, errors.Wrap(err, "owner record")
}
