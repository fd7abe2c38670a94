package controller

import "math/bits"

// unitSet is a set of units of one job, by their index in job.units. Adding and removing take constant time, and the
// members are found in the order of their indices.
type unitSet struct {
	words []uint64
	count int
}

const wordBits = 64

// set adds a unit to the set or removes it.
func (s *unitSet) set(index int, member bool) {
	word, bit := index/wordBits, uint64(1)<<(index%wordBits)
	for word >= len(s.words) {
		s.words = append(s.words, 0)
	}
	if (s.words[word]&bit != 0) == member {
		return
	}
	s.words[word] ^= bit
	if member {
		s.count++
	} else {
		s.count--
	}
}

// next returns the first member with the given index or a higher one, or -1 if there is none.
func (s *unitSet) next(index int) int {
	for word := index / wordBits; word < len(s.words); word++ {
		w := s.words[word]
		if word == index/wordBits {
			w &^= uint64(1)<<(index%wordBits) - 1
		}
		if w != 0 {
			return word*wordBits + bits.TrailingZeros64(w)
		}
	}
	return -1
}

// has reports whether a unit is in the set.
func (s *unitSet) has(index int) bool {
	return index/wordBits < len(s.words) && s.words[index/wordBits]&(1<<(index%wordBits)) != 0
}
