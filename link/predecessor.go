package link

// Predecessor is an earlier owner that may have granted leases which the present one
// knows nothing of.
type Predecessor struct {
	// Epoch is its last epoch.
	Epoch int64 `msgpack:"e"`
	// PeerAddress is the address that other entries call. It is empty if the owner is
	// not known.
	PeerAddress string `msgpack:"p"`
	// Witnesses are the entries that the owner needed to grant leases after its term, or
	// none if it needed no other.
	Witnesses []string `msgpack:"w,omitempty"`
}

// IsSame reports whether another predecessor is of the same epoch and address.
func (p Predecessor) IsSame(o Predecessor) bool {
	return p.Epoch == o.Epoch && p.PeerAddress == o.PeerAddress
}
