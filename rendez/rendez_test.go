package rendez

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Guards against a lost candidate moving keys that it did not own.
func TestCandidateLossMovesOnlyItsKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := rapid.SliceOfNDistinct(rapid.StringN(1, 8, -1), 2, 8, rapid.ID[string]).Draw(t, "candidates")
		lost := all[0]
		remaining := all[1:]
		key := rapid.String().Draw(t, "key")
		before := Owner(key, all)
		if before != lost && Owner(key, remaining) != before {
			t.Fatalf("key moved from %q though %q was lost", before, lost)
		}
		if Rank(key, all)[0] != before || !slices.Contains(all, before) {
			t.Fatalf("Rank and Owner disagree on the owner")
		}
	})
}

func ExampleOwner() {
	entries := []string{"entry-1", "entry-2", "entry-3"}
	fmt.Println(Owner("team a", entries) == Owner("team a", []string{"entry-3", "entry-1", "entry-2"}))
	// Output: true
}
