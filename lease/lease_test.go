package lease

import (
	"fmt"
	"testing"
	"time"
)

func ExampleHolder() {
	var h Holder
	sent := time.Now()
	h.Renewed(sent, 3*time.Second)
	// The answer took 2 s; the lease still counts from when the request was sent.
	fmt.Println(h.Left(sent.Add(2 * time.Second)))
	h.Revoke()
	h.Renewed(sent, 3*time.Second)
	fmt.Println(h.Left(sent))
	// Output:
	// 1s
	// 0s
}

func TestLateAnswerNeverExtends(t *testing.T) {
	var h Holder
	sent := time.Unix(100, 0)
	h.Renewed(sent.Add(time.Second), time.Second)
	h.Renewed(sent, time.Second)
	if got := h.Deadline(); !got.Equal(sent.Add(2 * time.Second)) {
		t.Fatalf("deadline %s moved by an older answer", got)
	}
}

func TestClosedDomainPromiseHolds(t *testing.T) {
	const promise = 3 * time.Second
	if s := DefaultTerms().Start(); s >= promise {
		t.Fatalf("configuration may be %s old at a start, and the promise is %s", s, promise)
	}
}
