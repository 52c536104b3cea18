package relay

// Settings are the limits of the backend server.
type Settings struct {
	Backend     string
	Service     string
	Slots       int
	Connections int
	Queue       int
}
