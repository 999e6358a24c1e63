package hosted

import "github.com/cespare/xxhash/v2"

// rendezvousRank returns the number of instances in names that rank before self for
// an upstream, by rendezvous hashing. All instances compute the same order.
func rendezvousRank(self string, names []string, upstream string) int {
	own := xxhash.Sum64String(self + " " + upstream)
	rank := 0
	for _, name := range names {
		if name != self && xxhash.Sum64String(name+" "+upstream) > own {
			rank++
		}
	}
	return rank
}
