package selector

// keptCapacity is the number of prompt prefixes that are remembered per engine.
// It exceeds the number that the KV cache of an engine holds.
const keptCapacity = 512

// keptParts is the set of prompt prefixes that an engine has processed for this
// instance and that its KV cache probably still holds. When the set is full, the
// older half is dropped.
type keptParts struct {
	recent map[uint64]struct{}
	older  map[uint64]struct{}
}

func newKeptParts() keptParts {
	return keptParts{recent: make(map[uint64]struct{})}
}

// longest returns the length in tokens of the longest cached prefix, or 0 if
// none is cached. The prefixes must be in the order of their length.
func (k *keptParts) longest(parts []Prefix) float64 {
	for i := len(parts) - 1; i >= 0; i-- {
		if k.has(parts[i].Hash) {
			return parts[i].Tokens
		}
	}
	return 0
}

func (k *keptParts) has(hash uint64) bool {
	if _, found := k.recent[hash]; found {
		return true
	}
	_, found := k.older[hash]
	return found
}

// add records all prefixes of a prompt as cached.
func (k *keptParts) add(parts []Prefix) {
	for i := range parts {
		k.recent[parts[i].Hash] = struct{}{}
	}
	if len(k.recent) > keptCapacity/2 {
		k.older, k.recent = k.recent, make(map[uint64]struct{})
	}
}
