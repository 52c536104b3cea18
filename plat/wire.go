package plat

import "github.com/berylspar/spar"

// AppendRequest is the body of POST /log.
type AppendRequest struct {
	Data []byte `json:"data"`
}

// AppendAnswer is the answer of POST /log.
type AppendAnswer struct {
	Offset int64 `json:"offset"`
}

// PageEntry is one record of GET /log.
type PageEntry struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

// PageAnswer is the answer of GET /log?from=N&wait_ms=N.
type PageAnswer struct {
	Oldest  int64       `json:"oldest"`
	Head    int64       `json:"head"`
	Entries []PageEntry `json:"entries"`
}

// RenewRequest is the body of POST /workers/{worker}/renew.
type RenewRequest struct {
	UntilNS int64         `json:"until_ns"`
	Tasks   []spar.TaskID `json:"tasks"`
}

// ThrottleRequest is the body of POST /workers/{worker}/throttle.
type ThrottleRequest struct {
	ID       spar.TaskID `json:"id"`
	CPUMilli int64       `json:"cpu_milli"`
}

// StopRequest is the body of POST /workers/{worker}/stop, checkpoint and clear.
type StopRequest struct {
	ID   spar.TaskID `json:"id"`
	Save bool        `json:"save"`
}
