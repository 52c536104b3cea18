// Package rendez chooses owners by rendezvous hashing: all who know the same
// candidates choose the same one, and a change of candidates moves only what
// it must.
package rendez

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Order returns the candidates, the owner of the key first.
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

// Owner returns the first of Order, or "" without candidates.
func Owner(key string, candidates []string) string {
	best, top := "", uint64(0)
	for _, c := range candidates {
		s := score(key, c)
		if best == "" || s > top || s == top && c < best {
			best, top = c, s
		}
	}
	return best
}

// Union returns the names of both lists, each once, in order.
func Union(a, b []string) []string {
	out := append(slices.Clone(a), b...)
	slices.Sort(out)
	return slices.Compact(out)
}

func score(key, candidate string) uint64 {
	var d xxhash.Digest
	d.Reset()
	d.WriteString(key)
	d.WriteString("\x00")
	d.WriteString(candidate)
	return d.Sum64()
}
