package link

// Predecessor is an earlier owner that may have granted leases which the present one
// knows nothing of.
type Predecessor struct {
	// Epoch is its last epoch.
	Epoch int64 `msgpack:"e"`
	// PeerAddress is the address that other entries call. It is empty if the owner is
	// not known.
	PeerAddress string `msgpack:"p"`
}
