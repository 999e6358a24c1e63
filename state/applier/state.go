// Package applier computes the state that results from the records of the
// platform's log. Every reader computes the same state, because it depends only on
// the records and their offsets.
package applier

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/benbjohnson/immutable"

	"github.com/crocushollow/crocushollow"
)

// Bounds of the state. They affect its contents, so they must be the same at
// every reader.
const (
	// maxCalls is the number of claimed calls whose keys are kept.
	maxCalls = 100_000
	// maxDeparted is the number of departed members that cannot join again.
	maxDeparted = 20_000
	// maxSuspects is the number of requests that are kept as suspects after an
	// upstream crashed while it ran them.
	maxSuspects = 10_000
	// maxPartEvents is the number of events with prompt parts that are kept.
	maxPartEvents = 256
	// maxRecordIDs is the number of recent records that are recognized when they
	// are appended again. An append is retried within seconds.
	maxRecordIDs = 8192
)

// State is an immutable snapshot of everything that the log determines.
type State struct {
	// nextOffset is the offset of the next record to apply.
	nextOffset uint64
	table      *crocushollow.Table
	// members holds the members that have joined and not departed, by instance.
	members map[string]crocushollow.Member
	// sortedMembers lists the members by ID. It is replaced, never modified.
	sortedMembers []crocushollow.Member
	// membershipVersion counts the changes of members.
	membershipVersion uint64
	// departed maps each departed member to whether it departed cleanly.
	departed *immutable.Map[string, bool]
	// departedOrder lists the departed members, oldest first.
	departedOrder *immutable.List[string]
	// ownerships holds the current ownership of each shard that has had an owner.
	ownerships map[crocushollow.Shard]crocushollow.ShardOwnership
	targets    map[string]crocushollow.PlacementTarget
	// residencies holds the weights on each upstream that are not absent.
	residencies map[string][]crocushollow.Residency
	// residentByName maps each name of weights to its resident replicas.
	residentByName map[string][]crocushollow.Residency
	calls          *immutable.Map[string, crocushollow.Call]
	// callOrder lists the keys of calls, oldest first.
	callOrder *immutable.List[string]
	// suspects holds the requests during which upstreams crashed.
	suspects *immutable.Map[string, crocushollow.SuspectRequest]
	// suspectOrder lists the fingerprints of suspects, oldest first.
	suspectOrder *immutable.List[string]
	// partEvents holds the latest events with prompt parts, oldest first.
	partEvents *immutable.List[partEvent]
	// explained holds the upstreams whose crash a likely cause explains.
	explained *immutable.Map[string, struct{}]
	// recordIDs holds the IDs of the most recent records.
	recordIDs *immutable.Map[string, struct{}]
	// recordOrder lists the IDs of the most recent records, oldest first.
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
		partEvents:    immutable.NewList[partEvent](),
		explained:     immutable.NewMap[string, struct{}](nil),
		recordIDs:     immutable.NewMap[string, struct{}](nil),
		recordOrder:   immutable.NewList[crocushollow.ID](),
	}
}

// NextOffset returns the offset of the next record to apply.
func (s *State) NextOffset() uint64 { return s.nextOffset }

// Table returns the table of rows.
func (s *State) Table() *crocushollow.Table { return s.table }

// Members returns the joined members sorted by ID. The caller must not modify
// the list.
func (s *State) Members() []crocushollow.Member { return s.sortedMembers }

// sortMembers updates the sorted list and the version after a membership change.
func (s *State) sortMembers() {
	s.membershipVersion++
	s.sortedMembers = slices.Collect(maps.Values(s.members))
	slices.SortFunc(s.sortedMembers, func(a, b crocushollow.Member) int { return strings.Compare(a.ID, b.ID) })
}

// MembershipVersion returns a number that grows with every membership change.
func (s *State) MembershipVersion() uint64 { return s.membershipVersion }

// MemberCount returns the number of joined members.
func (s *State) MemberCount() int { return len(s.members) }

// Member returns the current member of an instance.
func (s *State) Member(instance string) (crocushollow.Member, bool) {
	member, found := s.members[instance]
	return member, found
}

// IsJoined reports whether a member has joined and not departed.
func (s *State) IsJoined(memberID crocushollow.MemberID) bool {
	member, found := s.members[memberID.Instance]
	return found && member.Incarnation == memberID.Incarnation
}

// IsDeparted reports whether a member has been declared departed.
func (s *State) IsDeparted(memberID crocushollow.MemberID) bool {
	_, found := s.departed.Get(memberKey(memberID))
	return found
}

// DepartedCleanly reports whether a member itself declared its departure, and so
// no longer uses its quotas and shards.
func (s *State) DepartedCleanly(memberID crocushollow.MemberID) bool {
	clean, _ := s.departed.Get(memberKey(memberID))
	return clean
}

// Ownership returns the current ownership of a shard. Its term is 0 if the shard
// never had an owner.
func (s *State) Ownership(shard crocushollow.Shard) crocushollow.ShardOwnership {
	return s.ownerships[shard]
}

// IsVacant reports whether a shard has no owner that is a joined member.
func (s *State) IsVacant(shard crocushollow.Shard) bool {
	ownership := s.ownerships[shard]
	return ownership.Term == 0 || ownership.Released || !s.IsJoined(ownership.Owner)
}

// IsOwner reports whether a member owns a shard.
func (s *State) IsOwner(memberID crocushollow.MemberID, shard crocushollow.Shard) bool {
	return s.ownerships[shard].Owner == memberID && !s.IsVacant(shard)
}

// Target returns the weights that the planner has assigned to an upstream.
func (s *State) Target(upstream string) (crocushollow.PlacementTarget, bool) {
	target, found := s.targets[upstream]
	return target, found
}

// Residencies returns the weights on an upstream that occupy memory.
func (s *State) Residencies(upstream string) []crocushollow.Residency { return s.residencies[upstream] }

// ResidentReplicas returns the residencies of the named weights that serve requests.
func (s *State) ResidentReplicas(name string) []crocushollow.Residency { return s.residentByName[name] }

// Suspect returns the crash history of a request.
func (s *State) Suspect(fingerprint crocushollow.Digest) (crocushollow.SuspectRequest, bool) {
	return s.suspects.Get(string(fingerprint[:]))
}

// partEvent is an event with prompt parts and the offset of its batch in the log.
type partEvent struct {
	offset uint64
	event  crocushollow.SuspectEvent
}

// PartEventsSince returns the events with prompt parts from an offset of the log on. The
// oldest may be missing.
func (s *State) PartEventsSince(offset uint64) []crocushollow.SuspectEvent {
	var events []crocushollow.SuspectEvent
	for index := s.partEvents.Len() - 1; index >= 0; index-- {
		entry := s.partEvents.Get(index)
		if entry.offset < offset {
			break
		}
		events = append(events, entry.event)
	}
	slices.Reverse(events)
	return events
}

// IsExonerated reports whether other requests explain every crash of a suspect.
func (s *State) IsExonerated(suspect crocushollow.SuspectRequest) bool {
	if !suspect.CanBeExonerated() {
		return false
	}
	for _, event := range suspect.Crashes {
		if _, found := s.explained.Get(event.Upstream); !found {
			return false
		}
	}
	return true
}

// HasRecord reports whether a record is among the most recent that took effect.
func (s *State) HasRecord(id crocushollow.ID) bool {
	_, found := s.recordIDs.Get(string(id[:]))
	return found
}

// Call returns the claimed call with a key.
func (s *State) Call(key crocushollow.IdempotencyKey) (crocushollow.Call, bool) {
	return s.calls.Get(callKey(key))
}

func callKey(key crocushollow.IdempotencyKey) string { return key.Workspace + "/" + string(key.Key[:]) }

func memberKey(memberID crocushollow.MemberID) string {
	return memberID.Instance + "/" + strconv.FormatUint(uint64(memberID.Incarnation), 16)
}
