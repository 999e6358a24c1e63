package applier

import (
	"maps"
	"slices"

	"github.com/crocushollow/crocushollow"
)

// WithBatch returns the state after the batch at an offset and the result of each
// edit in it. It skips records that were applied before.
func (s *State) WithBatch(offset uint64, batch crocushollow.Batch) (*State, []crocushollow.EditResult) {
	next := *s
	next.nextOffset = offset + 1
	var results []crocushollow.EditResult
	for _, record := range batch.Records {
		if next.addRecordID(record.ID) {
			results = append(results, next.applyRecord(offset, record)...)
		}
	}
	return &next, results
}

// addRecordID stores the ID of a record and reports whether it is new.
func (s *State) addRecordID(id crocushollow.ID) bool {
	key := string(id[:])
	if _, found := s.recordIDs.Get(key); found {
		return false
	}
	s.recordIDs = s.recordIDs.Set(key, struct{}{})
	s.recordOrder = s.recordOrder.Append(id)
	if s.recordOrder.Len() > maxRecordIDs {
		oldest := s.recordOrder.Get(0)
		s.recordIDs = s.recordIDs.Delete(string(oldest[:]))
		s.recordOrder = s.recordOrder.Slice(1, s.recordOrder.Len())
	}
	return true
}

func (s *State) applyRecord(offset uint64, record crocushollow.Record) []crocushollow.EditResult {
	s.applyMembership(record)
	s.applyShardClaims(offset, record)
	results := s.applyEdits(offset, record)
	if !s.IsDeparted(record.Author) {
		// Targets, residencies and call claims of a departed member have no effect.
		s.applyTargets(record)
		s.applyResidencies(offset, record)
		s.applyCallClaims(record)
	}
	s.applyCallResults(record)
	s.applySuspectEvents(offset, record)
	return results
}

// WithSkippedBatch returns the state after a batch that could not be decoded.
func (s *State) WithSkippedBatch(offset uint64) *State {
	next := *s
	next.nextOffset = offset + 1
	return &next
}

func (s *State) applyMembership(record crocushollow.Record) {
	if len(record.Joins)+len(record.Departures)+len(record.Drains) == 0 {
		return
	}
	s.members = cloneMap(s.members)
	for _, member := range record.Joins {
		s.join(member)
	}
	for _, memberID := range record.Departures {
		s.depart(memberID, record.Author == memberID)
	}
	for _, memberID := range record.Drains {
		if s.IsJoined(memberID) {
			member := s.members[memberID.Instance]
			member.Draining = true
			s.members[memberID.Instance] = member
		}
	}
	s.sortMembers()
}

// join adds a member. A new incarnation of an instance ends the previous one.
func (s *State) join(member crocushollow.Member) {
	if s.IsDeparted(member.MemberID()) {
		return
	}
	if previous, found := s.members[member.ID]; found && previous.Incarnation != member.Incarnation {
		s.depart(previous.MemberID(), false)
	}
	s.members[member.ID] = member
}

// depart removes a member. A departure is clean if the member itself declared it,
// and so no longer uses its quotas and shards.
func (s *State) depart(memberID crocushollow.MemberID, clean bool) {
	if s.IsDeparted(memberID) {
		return
	}
	if s.IsJoined(memberID) {
		delete(s.members, memberID.Instance)
	}
	s.departed = s.departed.Set(memberKey(memberID), clean)
	s.departedOrder = s.departedOrder.Append(memberKey(memberID))
	if s.departedOrder.Len() > maxDeparted {
		s.departed = s.departed.Delete(s.departedOrder.Get(0))
		s.departedOrder = s.departedOrder.Slice(1, s.departedOrder.Len())
	}
}

func (s *State) applyShardClaims(offset uint64, record crocushollow.Record) {
	if len(record.ShardClaims)+len(record.ShardReleases) == 0 {
		return
	}
	s.ownerships = cloneMap(s.ownerships)
	for _, release := range record.ShardReleases {
		ownership := s.ownerships[release.Shard]
		if ownership.Owner == release.Owner && ownership.Term == release.PreviousTerm {
			ownership.Released = true
			s.ownerships[release.Shard] = ownership
		}
	}
	for _, claim := range record.ShardClaims {
		if s.isValidClaim(claim) {
			s.ownerships[claim.Shard] = crocushollow.ShardOwnership{
				Shard:        claim.Shard,
				Owner:        claim.Owner,
				Term:         offset + 1,
				PreviousTerm: claim.PreviousTerm,
			}
		}
	}
}

// isValidClaim reports whether a claim succeeds the current term of a shard
// without an owner.
func (s *State) isValidClaim(claim crocushollow.ShardClaim) bool {
	return s.IsJoined(claim.Owner) &&
		s.ownerships[claim.Shard].Term == claim.PreviousTerm &&
		s.IsVacant(claim.Shard)
}

func (s *State) applyEdits(offset uint64, record crocushollow.Record) []crocushollow.EditResult {
	results := make([]crocushollow.EditResult, 0, len(record.Edits))
	for _, edit := range record.Edits {
		table, err := s.table.WithEdit(edit, offset)
		if err == nil {
			s.table = table
		}
		results = append(results, crocushollow.EditResult{Edit: edit, Offset: offset, Err: err})
	}
	return results
}

// applyTargets stores the targets that the current planner has set.
func (s *State) applyTargets(record crocushollow.Record) {
	if len(record.Targets) == 0 {
		return
	}
	planner := s.ownerships[crocushollow.PlannerShard]
	s.targets = cloneMap(s.targets)
	for _, target := range record.Targets {
		if target.Term == planner.Term {
			s.targets[target.Upstream] = target
		}
	}
}

// applyResidencies stores the residencies that the current owner of the upstream
// has published and for which there is memory.
func (s *State) applyResidencies(offset uint64, record crocushollow.Record) {
	if len(record.Residencies) == 0 {
		return
	}
	s.residencies = cloneMap(s.residencies)
	s.residentByName = cloneMap(s.residentByName)
	for _, residency := range record.Residencies {
		ownership := s.ownerships[crocushollow.ShardOf(residency.Upstream)]
		if residency.Term == ownership.Term && record.Author == ownership.Owner && s.hasRoom(residency) {
			residency.FencingToken = s.fencingTokenOf(residency, offset)
			s.setResidency(residency)
		}
	}
}

// hasRoom reports whether the upstream has memory for a residency. Weights that
// occupy memory already need no further room.
func (s *State) hasRoom(residency crocushollow.Residency) bool {
	if residency.State != crocushollow.Loading {
		return true
	}
	upstream, found := s.table.Upstream(residency.Upstream)
	free := upstream.MemoryBytes
	for _, other := range s.residencies[residency.Upstream] {
		if other.Weights.Label() == residency.Weights.Label() {
			return true
		}
		free -= other.Weights.MemoryBytes
	}
	return found && residency.Weights.MemoryBytes <= free
}

// fencingTokenOf returns the offset plus 1 of the record that started the current
// load or unload of the weights.
func (s *State) fencingTokenOf(residency crocushollow.Residency, offset uint64) uint64 {
	for _, current := range s.residencies[residency.Upstream] {
		sameWeights := current.Weights.Label() == residency.Weights.Label()
		if sameWeights && (current.State == residency.State || residency.State == crocushollow.Resident) {
			return current.FencingToken
		}
	}
	return offset + 1
}

// setResidency updates both indexes of residencies.
func (s *State) setResidency(residency crocushollow.Residency) {
	s.residencies[residency.Upstream] = replaceResidency(
		s.residencies[residency.Upstream], residency, residency.State != crocushollow.Absent)
	name := residency.Weights.Name
	s.residentByName[name] = replaceResidency(
		s.residentByName[name], residency, residency.State == crocushollow.Resident)
}

// replaceResidency returns a copy of the list in which the residency of the
// same weights on the same upstream is replaced, or removed unless keep is set.
func replaceResidency(list []crocushollow.Residency, residency crocushollow.Residency, keep bool) []crocushollow.Residency {
	replaced := slices.DeleteFunc(slices.Clone(list), func(r crocushollow.Residency) bool {
		return r.Upstream == residency.Upstream && r.Weights.Label() == residency.Weights.Label()
	})
	if keep {
		replaced = append(replaced, residency)
	}
	return replaced
}

// applyCallClaims stores the first claim of each call.
func (s *State) applyCallClaims(record crocushollow.Record) {
	for _, claim := range record.CallClaims {
		key := callKey(claim.Key)
		if _, found := s.calls.Get(key); found || !s.IsJoined(claim.Owner) {
			continue
		}
		s.calls = s.calls.Set(key, crocushollow.Call{Claim: claim})
		s.callOrder = s.callOrder.Append(key)
		for s.callOrder.Len() > maxCalls {
			s.calls = s.calls.Delete(s.callOrder.Get(0))
			s.callOrder = s.callOrder.Slice(1, s.callOrder.Len())
		}
	}
}

// applyCallResults ends the calls that have a result. A call that did not run can
// be claimed again.
func (s *State) applyCallResults(record crocushollow.Record) {
	for _, result := range record.CallResults {
		key := callKey(result.Key)
		call, found := s.calls.Get(key)
		if !found || call.Claim.Attempt != result.Attempt || call.Ended {
			continue
		}
		if result.NotRun {
			s.calls = s.calls.Delete(key)
			continue
		}
		call.Ended = true
		call.Response = result.Response
		s.calls = s.calls.Set(key, call)
	}
}

func (s *State) applySuspectEvents(offset uint64, record crocushollow.Record) {
	for _, event := range record.SuspectEvents {
		s.applySuspectEvent(event)
		if len(event.Parts) > 0 {
			s.partEvents = s.partEvents.Append(partEvent{offset: offset, event: event})
		}
	}
	if excess := s.partEvents.Len() - maxPartEvents; excess > 0 {
		s.partEvents = s.partEvents.Slice(excess, s.partEvents.Len())
	}
	for s.suspectOrder.Len() > maxSuspects {
		s.dropSuspect(s.suspectOrder.Get(0))
		s.suspectOrder = s.suspectOrder.Slice(1, s.suspectOrder.Len())
	}
}

// applySuspectEvent updates the suspect that an event is about. Only a crash
// creates a suspect.
func (s *State) applySuspectEvent(event crocushollow.SuspectEvent) {
	key := string(event.Fingerprint[:])
	suspect, known := s.suspects.Get(key)
	switch {
	case event.Kind == crocushollow.CrashEvent:
		if !known {
			s.suspectOrder = s.suspectOrder.Append(key)
		}
		suspect.Crashes = append(slices.Clone(suspect.Crashes), event)
		suspect.RetryClaim = &event
	case !known:
		return
	case event.Kind == crocushollow.ClearedEvent:
		if !suspect.ReachedCrashLimit() || s.IsExonerated(suspect) {
			s.suspects = s.suspects.Delete(key)
		}
		return
	case event.Kind == crocushollow.RetryDeclinedEvent:
		suspect.RetryClaim = nil
	case event.Kind == crocushollow.RetryClaimEvent && s.canClaimRetry(suspect):
		suspect.RetryClaim = &event
	}
	s.setSuspect(suspect)
}

// canClaimRetry reports whether no joined member may retry a suspected request.
func (s *State) canClaimRetry(suspect crocushollow.SuspectRequest) bool {
	return suspect.RetryClaim == nil || !s.IsJoined(suspect.RetryClaim.Member)
}

// setSuspect stores a suspect. A suspect that is the likely cause explains the
// crashes of its upstreams.
func (s *State) setSuspect(suspect crocushollow.SuspectRequest) {
	fingerprint := suspect.Crashes[0].Fingerprint
	s.suspects = s.suspects.Set(string(fingerprint[:]), suspect)
	if !suspect.IsLikelyCause() {
		return
	}
	for _, event := range suspect.Crashes {
		s.explained = s.explained.Set(event.Upstream, struct{}{})
	}
}

// dropSuspect removes a suspect. A likely cause then no longer explains the
// crashes of its upstreams.
func (s *State) dropSuspect(key string) {
	suspect, _ := s.suspects.Get(key)
	s.suspects = s.suspects.Delete(key)
	if suspect.IsLikelyCause() {
		for _, event := range suspect.Crashes {
			s.explained = s.explained.Delete(event.Upstream)
		}
	}
}

// cloneMap returns a writable copy, also of a nil map.
func cloneMap[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return make(map[K]V)
	}
	return maps.Clone(m)
}
