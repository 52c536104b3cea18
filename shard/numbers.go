package shard

// numberSet is a set of small numbers. The zero value is empty.
type numberSet struct {
	words []uint64
	count int
}

func (s *numberSet) has(n int) bool {
	return n/64 < len(s.words) && s.words[n/64]&(1<<(n%64)) != 0
}

// limit returns a number above all those in the set.
func (s *numberSet) limit() int { return len(s.words) * 64 }

func (s *numberSet) add(n int) {
	if s.has(n) {
		return
	}
	for n/64 >= len(s.words) {
		s.words = append(s.words, 0)
	}
	s.words[n/64] |= 1 << (n % 64)
	s.count++
}
