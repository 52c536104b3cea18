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

// Outcomes of calls to the store and to workers.
var (
	// ErrRefused says that the call was answered and nothing was done.
	ErrRefused = errors.New("refused, nothing was done")
	// ErrUnknown says that no answer came: the call may have been carried out,
	// or may be carried out later.
	ErrUnknown = errors.New("no answer, outcome unknown")
	// ErrFenced says that a newer owner has written to the partition.
	ErrFenced = errors.New("store: fenced by a newer epoch")
	// ErrSequence says that the producer's sequence number is not the next one.
	ErrSequence = errors.New("store: sequence number out of order")
	// ErrOtherLife says that the worker is not in the life that was meant.
	ErrOtherLife = errors.New("worker is in another life")
)
