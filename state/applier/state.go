// Package applier computes the state that the records of the platform's log
// add up to. The result is the same at every reader: it depends on the records
// and their offsets alone.
package applier

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/benbjohnson/immutable"

	"github.com/crocushollow/crocushollow"
)

// Bounds of what is remembered. They are part of the deterministic state, so
// they must be the same at every reader.
const (
	// maxCalls is the number of claimed calls whose keys are remembered.
	maxCalls = 100_000
	// maxDeparted is the number of departed lives that cannot join again.
	maxDeparted = 20_000
	// maxSuspects is the number of requests that are remembered for having
	// broken off upstreams.
	maxSuspects = 10_000
	// maxRecords is the number of records that are recognized when they are
	// appended again. A repeated append follows within seconds.
	maxRecords = 8192
)

// State is an immutable snapshot of everything that the log decides.
type State struct {
	// offset is that of the next record to apply.
	offset uint64
	table  *crocushollow.Table
	// members holds the lives that have joined and not departed.
	members map[string]crocushollow.Member
	// sorted lists the members by ID. It is replaced, never changed.
	sorted []crocushollow.Member
	// membersChanged counts the changes of members.
	membersChanged uint64
	// departed tells of each departed life whether it departed by its own word.
	departed *immutable.Map[string, bool]
	// departedOrder lists the departed lives, oldest first.
	departedOrder *immutable.List[string]
	// holdings holds the current claim of each shard that has one.
	holdings map[crocushollow.Shard]crocushollow.ShardOwnership
	targets  map[string]crocushollow.PlacementTarget
	// residencies holds the weights on each upstream that are not absent.
	residencies map[string][]crocushollow.Residency
	// resident maps each name of weights to its resident copies.
	resident map[string][]crocushollow.Residency
	calls    *immutable.Map[string, crocushollow.Call]
	// callOrder lists the keys of calls, oldest first.
	callOrder *immutable.List[string]
	// suspects holds the requests that have broken off upstreams.
	suspects *immutable.Map[string, crocushollow.SuspectRequest]
	// suspectOrder lists the suspects' fingerprints, oldest first.
	suspectOrder *immutable.List[string]
	// explained holds the upstreams that a known culprit has broken off.
	explained *immutable.Map[string, struct{}]
	// records holds the IDs of the latest records.
	records *immutable.Map[string, struct{}]
	// recordOrder lists the IDs of the latest records, oldest first.
	recordOrder *immutable.List[crocushollow.ID]
}

// New returns the state before the first record.
func New() *State {
	return &State{
		table:         crocushollow.NewTable(),
		departed:      immutable.NewMap[string, bool](nil),
		departedOrder: immutable.NewList[string](),
		calls:         immutable.NewMap[string, crocushollow.Call](nil),
		callOrder:     immutable.NewList[string](),
		suspects:      immutable.NewMap[string, crocushollow.SuspectRequest](nil),
		suspectOrder:  immutable.NewList[string](),
		explained:     immutable.NewMap[string, struct{}](nil),
		records:       immutable.NewMap[string, struct{}](nil),
		recordOrder:   immutable.NewList[crocushollow.ID](),
	}
}

// Offset returns the offset of the next record to apply.
func (s *State) Offset() uint64 { return s.offset }

// Table returns the rows.
func (s *State) Table() *crocushollow.Table { return s.table }

// Members returns the joined members sorted by ID. The caller must not change
// the list.
func (s *State) Members() []crocushollow.Member { return s.sorted }

// sortMembers follows a change of the members.
func (s *State) sortMembers() {
	s.membersChanged++
	s.sorted = slices.Collect(maps.Values(s.members))
	slices.SortFunc(s.sorted, func(a, b crocushollow.Member) int { return strings.Compare(a.ID, b.ID) })
}

// MembersChanged returns a number that grows with every change of the members.
func (s *State) MembersChanged() uint64 { return s.membersChanged }

// MemberCount returns the number of joined members.
func (s *State) MemberCount() int { return len(s.members) }

// Member returns the current life of an instance.
func (s *State) Member(instance string) (crocushollow.Member, bool) {
	member, found := s.members[instance]
	return member, found
}

// IsJoined reports whether a life has joined and not departed.
func (s *State) IsJoined(life crocushollow.MemberID) bool {
	member, found := s.members[life.Instance]
	return found && member.Incarnation == life.Incarnation
}

// IsDeparted reports whether a life has been declared departed.
func (s *State) IsDeparted(life crocushollow.MemberID) bool {
	_, found := s.departed.Get(lifeKey(life))
	return found
}

// DepartedCleanly reports whether a life has departed by its own word, which
// means that it uses nothing any more.
func (s *State) DepartedCleanly(life crocushollow.MemberID) bool {
	clean, _ := s.departed.Get(lifeKey(life))
	return clean
}

// Holding returns the current claim of a shard. Its term is 0 if there is none.
func (s *State) Holding(shard crocushollow.Shard) crocushollow.ShardOwnership {
	return s.holdings[shard]
}

// IsVacant reports whether a shard has no joined holder.
func (s *State) IsVacant(shard crocushollow.Shard) bool {
	holding := s.holdings[shard]
	return holding.Term == 0 || holding.Released || !s.IsJoined(holding.Owner)
}

// IsHolder reports whether a life holds a shard.
func (s *State) IsHolder(life crocushollow.MemberID, shard crocushollow.Shard) bool {
	return s.holdings[shard].Owner == life && !s.IsVacant(shard)
}

// Target returns what the planner wants on an upstream.
func (s *State) Target(upstream string) (crocushollow.PlacementTarget, bool) {
	target, found := s.targets[upstream]
	return target, found
}

// Residencies returns the weights on an upstream that occupy memory.
func (s *State) Residencies(upstream string) []crocushollow.Residency { return s.residencies[upstream] }

// Resident returns the upstreams' residencies that serve the named weights.
func (s *State) Resident(name string) []crocushollow.Residency { return s.resident[name] }

// Suspect returns what is known against a request.
func (s *State) Suspect(fingerprint crocushollow.Digest) (crocushollow.SuspectRequest, bool) {
	return s.suspects.Get(string(fingerprint[:]))
}

// IsExonerated reports whether another request explains every crash that a
// request was part of.
func (s *State) IsExonerated(suspect crocushollow.SuspectRequest) bool {
	if !suspect.CanBeExonerated() {
		return false
	}
	for _, suspicion := range suspect.Crashes {
		if _, found := s.explained.Get(suspicion.Upstream); !found {
			return false
		}
	}
	return true
}

// HasRecord reports whether a record is among the latest that took effect.
func (s *State) HasRecord(id crocushollow.ID) bool {
	_, found := s.records.Get(string(id[:]))
	return found
}

// Call returns the claimed call under a key.
func (s *State) Call(key crocushollow.IdempotencyKey) (crocushollow.Call, bool) {
	return s.calls.Get(callKey(key))
}

func callKey(key crocushollow.IdempotencyKey) string { return key.Workspace + "/" + string(key.Key[:]) }

func lifeKey(life crocushollow.MemberID) string {
	return life.Instance + "/" + strconv.FormatUint(uint64(life.Incarnation), 16)
}
