package spar

import "github.com/cockroachdb/errors"

// Errors of the platform.
var (
	// ErrGone means that the requested offset is older than the retained log.
	ErrGone = errors.New("log: offset is no longer kept")
	// ErrUnavailable means that the platform did not serve the request. The
	// action may still have taken effect.
	ErrUnavailable = errors.New("platform not available")
)

// Outcomes of calls to the store and to workers.
var (
	// ErrRefused means that the call had no effect.
	ErrRefused = errors.New("refused, nothing was done")
	// ErrInvalid means that the other side rejects the call for its content, so that
	// repeating it has no effect either. It comes together with ErrRefused.
	ErrInvalid = errors.New("content refused")
	// ErrNotSent means that no connection could be made. It comes together with
	// ErrRefused.
	ErrNotSent = errors.New("not sent")
	// ErrUnknown means that no usable answer was received. The call may have
	// been carried out already, or may be carried out later.
	ErrUnknown = errors.New("no answer, outcome unknown")
	// ErrDisconnected means that the connection was closed, reset or refused. The
	// other side's process may be gone while its machine is not, but a fault of the
	// network looks the same, so this does not prove it. It comes together with
	// ErrRefused or ErrUnknown.
	ErrDisconnected = errors.New("connection closed, reset or refused")
	// ErrFenced means that a newer owner has written to the partition.
	ErrFenced = errors.New("store: fenced by a newer epoch")
	// ErrSequence means that the producer's sequence number is not the next
	// expected one.
	ErrSequence = errors.New("store: sequence number out of order")
	// ErrOtherLife means that the worker has been restarted since the addressed
	// life.
	ErrOtherLife = errors.New("worker is in another life")
)
