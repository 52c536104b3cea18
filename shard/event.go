package shard

// Event is a decision that the owner logs and counts. The metric that counts it
// is named after Name, so the texts of Name must not change.
type Event struct {
	Name   string
	Task   string
	Run    int64
	Node   string
	Reason string
	// Queue is set if the event is also counted by queue.
	Queue string
}
