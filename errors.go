package spar

import "github.com/cockroachdb/errors"

// Errors of the platform.
var (
	// ErrGone says that retention has passed over the offset asked for.
	ErrGone = errors.New("log: offset is no longer kept")
	// ErrUnavailable says that the platform did not serve the request. The
	// action may have taken effect.
	ErrUnavailable = errors.New("platform not available")
)
