package selector

// maxCachedPrefixes bounds the prompt prefixes that are remembered per engine.
// It exceeds the number that the KV cache of an engine holds.
const maxCachedPrefixes = 512

// prefixCache is the set of prompt prefixes that an engine has processed for
// this instance and that its KV cache probably still holds. When the set is full,
// the older half is dropped.
type prefixCache struct {
	recent map[uint64]struct{}
	older  map[uint64]struct{}
}

func newPrefixCache() prefixCache {
	return prefixCache{recent: make(map[uint64]struct{})}
}

// longestMatch returns the length in tokens of the longest prefix that is
// cached, or 0 if there is none. The prefixes must be in order of their length.
func (p *prefixCache) longestMatch(prefixes []Prefix) float64 {
	for i := len(prefixes) - 1; i >= 0; i-- {
		if p.contains(prefixes[i].Hash) {
			return prefixes[i].Tokens
		}
	}
	return 0
}

func (p *prefixCache) contains(hash uint64) bool {
	if _, found := p.recent[hash]; found {
		return true
	}
	_, found := p.older[hash]
	return found
}

// add records all prefixes of a prompt as cached.
func (p *prefixCache) add(prefixes []Prefix) {
	for i := range prefixes {
		p.recent[prefixes[i].Hash] = struct{}{}
	}
	if len(p.recent) > maxCachedPrefixes/2 {
		p.older, p.recent = p.recent, make(map[uint64]struct{})
	}
}
