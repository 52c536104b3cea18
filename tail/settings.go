package tail

import "time"

// Settings are the time limits of reads and appends of the log.
type Settings struct {
	// PollMS is how long a read waits for a record. It must be below the age up
	// to which a read counts as fresh (lease.Terms.FreshMS).
	PollMS int64 `json:"poll_ms" jsonschema:"minimum=10,maximum=5000,description=time that a read of the log waits for a record in ms"`
	// GroupMS is how long records are collected for one append.
	GroupMS int64 `json:"group_ms" jsonschema:"minimum=0,maximum=1000,description=time that records are gathered into one append in ms"`
	// AppendMS is the time limit of one attempt to append.
	AppendMS int64 `json:"append_ms" jsonschema:"minimum=50,maximum=10000,description=time limit of one try of an append in ms"`
}

// DefaultSettings returns settings for a log that answers within a few
// milliseconds.
func DefaultSettings() Settings { return Settings{PollMS: 250, GroupMS: 3, AppendMS: 1000} }

func (s Settings) poll() time.Duration   { return time.Duration(s.PollMS) * time.Millisecond }
func (s Settings) group() time.Duration  { return time.Duration(s.GroupMS) * time.Millisecond }
func (s Settings) append() time.Duration { return time.Duration(s.AppendMS) * time.Millisecond }
