package owner

import (
	"fmt"
	"testing"
	"time"
)

// A crowd of other jobs must not make an entry forget a try that is in progress: a refusal
// beside it would say that the job never runs.
func TestTryInProgressIsNotForgotten(t *testing.T) {
	var tr tries
	now := time.Unix(1000, 0)
	tr.begin("held", now)
	for i := range 2 * maxTries {
		id := fmt.Sprint(i)
		tr.begin(id, now)
		tr.end(id, NotTried, now)
	}
	if got := tr.of("held"); got != InDoubt {
		t.Errorf("outcome of the try in progress: %v, want %v", got, InDoubt)
	}
	if n := len(tr.byID); n > maxTries+1 {
		t.Errorf("%d tries are kept, at most %d", n, maxTries+1)
	}
	tr.end("held", Stored, now)
	if got := tr.of("held"); got != Stored {
		t.Errorf("outcome after its end: %v, want %v", got, Stored)
	}
}
