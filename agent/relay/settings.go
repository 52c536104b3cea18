package relay

// Settings describes the backend server and its limits: Slots bounds the requests
// at the backend, Queue those that wait for a slot.
type Settings struct {
	Backend     string
	Service     string
	Slots       int
	Connections int
	Queue       int
}
