package interf_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/berylspar/spar/interf"
)

// longName returns the name of an image as registries have them.
func longName(kind string, i int) string {
	return fmt.Sprintf("images.example/%s/program-%04d@sha256:%064x", kind, i, i)
}

// Callers choose the names of images. The record of the model must not exceed the limit
// of the store, whatever the number and the length of the names, and must hold the pairs
// that were observed last.
func TestStoredModelIsBounded(t *testing.T) {
	const limit = 64 << 10
	var m interf.Model
	now := time.Unix(1000, 0)
	observe := func(serving, fill string) {
		now = now.Add(time.Second)
		m.Observe(interf.ServingGroup{Job: "j", Image: serving}, []interf.FillUsage{{Image: fill, CPUFraction: 0.3}}, 0.9, now)
	}
	observe(desk.Image, "first")
	for i := range 12_000 {
		observe(longName("serving", i%40), longName("filling", i))
	}
	observe(desk.Image, strings.Repeat("x", 2*limit))
	observe(desk.Image, "last")
	stored := m.Encode(limit)
	if len(stored) > limit || len(stored) < limit*3/4 {
		t.Fatalf("%d bytes, want close to %d", len(stored), limit)
	}
	if n := m.PairCount(); n > 8192 {
		t.Errorf("%d pairs in memory", n)
	}
	restored, err := interf.Decode(stored)
	if err != nil {
		t.Fatal(err)
	}
	use := func(image string) interf.FillUsage { return interf.FillUsage{Image: image, CPUFraction: 1} }
	if restored.Cost(desk.Image, use("last")) == restored.Cost(desk.Image, use("never")) {
		t.Error("the last pair is missing")
	}
	if restored.Cost(desk.Image, use("first")) != restored.Cost(desk.Image, use("never")) {
		t.Error("the first pair is still there")
	}
	var few interf.Model
	few.Observe(desk, []interf.FillUsage{use("a"), use("b")}, 2, now)
	if restored, err := interf.Decode(few.Encode(limit)); err != nil || restored.PairCount() != 2 {
		t.Errorf("%d of 2 pairs, %v", restored.PairCount(), err)
	}
}
