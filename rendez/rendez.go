// Package rendez chooses owners of keys by rendezvous hashing. All processes that
// know the same candidates choose the same owner, and when a candidate is lost,
// only its own keys get another owner.
package rendez

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the candidates in descending order of their score for the key. The
// first one is its owner.
func Rank(key string, candidates []string) []string {
	type scored struct {
		name  string
		score uint64
	}
	all := make([]scored, 0, len(candidates))
	for _, c := range candidates {
		all = append(all, scored{c, score(key, c)})
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
	})
	out := make([]string, 0, len(all))
	for _, s := range all {
		out = append(out, s.name)
	}
	return out
}

// Owner returns the owner of the key, which is the first of Rank, or "" if there
// are no candidates.
func Owner(key string, candidates []string) string {
	best, bestScore := "", uint64(0)
	for _, c := range candidates {
		s := score(key, c)
		if best == "" || s > bestScore || s == bestScore && c < best {
			best, bestScore = c, s
		}
	}
	return best
}

// Union returns the distinct names of both lists, sorted.
func Union(a, b []string) []string {
	out := append(slices.Clone(a), b...)
	slices.Sort(out)
	return slices.Compact(out)
}

// score hashes a key and a candidate. The separator keeps pairs such as "a", "bc"
// and "ab", "c" apart.
func score(key, candidate string) uint64 {
	var d xxhash.Digest
	d.Reset()
	d.WriteString(key)
	d.WriteString("\x00")
	d.WriteString(candidate)
	return d.Sum64()
}
