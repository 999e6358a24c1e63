package applier

import (
	"maps"
	"slices"

	"github.com/crocushollow/crocushollow"
)

// WithBatch returns the state after the batch at an offset and the result of each
// edit in it.
func (s *State) WithBatch(offset uint64, batch crocushollow.Batch) (*State, []crocushollow.EditResult) {
	next := *s
	next.offset = offset + 1
	var results []crocushollow.EditResult
	for _, record := range batch.Records {
		if next.remember(record.ID) {
			results = append(results, next.applyRecord(offset, record)...)
		}
	}
	return &next, results
}

// addRecordID stores the ID of a record and reports whether it is new.
func (s *State) remember(id crocushollow.ID) bool {
	key := string(id[:])
	if _, found := s.records.Get(key); found {
		return false
	}
	s.records = s.records.Set(key, struct{}{})
	s.recordOrder = s.recordOrder.Append(id)
	if s.recordOrder.Len() > maxRecords {
		oldest := s.recordOrder.Get(0)
		s.records = s.records.Delete(string(oldest[:]))
		s.recordOrder = s.recordOrder.Slice(1, s.recordOrder.Len())
	}
	return true
}

func (s *State) applyRecord(offset uint64, record crocushollow.Record) []crocushollow.EditResult {
	s.applyMembership(record)
	s.applyClaims(offset, record)
	results := s.applyEdits(offset, record)
	if !s.IsDeparted(record.Author) {
		// Orders and call claims of a departed member are void.
		s.applyTargets(record)
		s.applyResidencies(offset, record)
		s.applyCallClaims(record)
	}
	s.applyCallResults(record)
	s.applySuspicions(record)
	return results
}

// WithSkippedBatch returns the state after a batch that could not be decoded.
func (s *State) WithSkippedBatch(offset uint64) *State {
	next := *s
	next.offset = offset + 1
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
	for _, life := range record.Departures {
		s.depart(life, record.Author == life)
	}
	for _, life := range record.Drains {
		if s.IsJoined(life) {
			member := s.members[life.Instance]
			member.Draining = true
			s.members[life.Instance] = member
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

// depart removes a member. A departure is clean if the member itself declared
// that it no longer uses anything.
func (s *State) depart(life crocushollow.MemberID, clean bool) {
	if s.IsDeparted(life) {
		return
	}
	if s.IsJoined(life) {
		delete(s.members, life.Instance)
	}
	s.departed = s.departed.Set(lifeKey(life), clean)
	s.departedOrder = s.departedOrder.Append(lifeKey(life))
	if s.departedOrder.Len() > maxDeparted {
		s.departed = s.departed.Delete(s.departedOrder.Get(0))
		s.departedOrder = s.departedOrder.Slice(1, s.departedOrder.Len())
	}
}

func (s *State) applyClaims(offset uint64, record crocushollow.Record) {
	if len(record.ShardClaims)+len(record.ShardReleases) == 0 {
		return
	}
	s.holdings = cloneMap(s.holdings)
	for _, release := range record.ShardReleases {
		holding := s.holdings[release.Shard]
		if holding.Owner == release.Owner && holding.Term == release.PreviousTerm {
			holding.Released = true
			s.holdings[release.Shard] = holding
		}
	}
	for _, claim := range record.ShardClaims {
		if s.isWinner(claim) {
			s.holdings[claim.Shard] = crocushollow.ShardOwnership{
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
func (s *State) isWinner(claim crocushollow.ShardClaim) bool {
	return s.IsJoined(claim.Owner) &&
		s.holdings[claim.Shard].Term == claim.PreviousTerm &&
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

func (s *State) applyTargets(record crocushollow.Record) {
	if len(record.Targets) == 0 {
		return
	}
	planner := s.holdings[crocushollow.PlannerShard]
	s.targets = cloneMap(s.targets)
	for _, target := range record.Targets {
		if target.Term == planner.Term {
			s.targets[target.Upstream] = target
		}
	}
}

func (s *State) applyResidencies(offset uint64, record crocushollow.Record) {
	if len(record.Residencies) == 0 {
		return
	}
	s.residencies = cloneMap(s.residencies)
	s.resident = cloneMap(s.resident)
	for _, residency := range record.Residencies {
		holding := s.holdings[crocushollow.ShardOf(residency.Upstream)]
		if residency.Term == holding.Term && record.Author == holding.Owner && s.hasRoom(residency) {
			residency.FencingToken = s.intentOf(residency, offset)
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
func (s *State) intentOf(residency crocushollow.Residency, offset uint64) uint64 {
	for _, current := range s.residencies[residency.Upstream] {
		sameWeights := current.Weights.Label() == residency.Weights.Label()
		if sameWeights && (current.State == residency.State || residency.State == crocushollow.Resident) {
			return current.FencingToken
		}
	}
	return offset + 1
}

func (s *State) setResidency(residency crocushollow.Residency) {
	s.residencies[residency.Upstream] = replaceResidency(
		s.residencies[residency.Upstream], residency, residency.State != crocushollow.Absent)
	name := residency.Weights.Name
	s.resident[name] = replaceResidency(
		s.resident[name], residency, residency.State == crocushollow.Resident)
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

func (s *State) applySuspicions(record crocushollow.Record) {
	for _, suspicion := range record.SuspectEvents {
		s.applySuspicion(suspicion)
	}
	for s.suspectOrder.Len() > maxSuspects {
		s.dropSuspect(s.suspectOrder.Get(0))
		s.suspectOrder = s.suspectOrder.Slice(1, s.suspectOrder.Len())
	}
}

func (s *State) applySuspicion(suspicion crocushollow.SuspectEvent) {
	key := string(suspicion.Fingerprint[:])
	suspect, known := s.suspects.Get(key)
	switch {
	case suspicion.Kind == crocushollow.CrashEvent:
		if !known {
			s.suspectOrder = s.suspectOrder.Append(key)
		}
		suspect.Crashes = append(slices.Clone(suspect.Crashes), suspicion)
		suspect.RetryClaim = &suspicion
	case !known:
		return
	case suspicion.Kind == crocushollow.ClearedEvent:
		if !suspect.ReachedCrashLimit() || s.IsExonerated(suspect) {
			s.suspects = s.suspects.Delete(key)
		}
		return
	case suspicion.Kind == crocushollow.RetryDeclinedEvent:
		suspect.RetryClaim = nil
	case suspicion.Kind == crocushollow.RetryClaimEvent && s.mayTry(suspect):
		suspect.RetryClaim = &suspicion
	}
	s.setSuspect(suspect)
}

// canClaimRetry reports whether no joined member may retry a suspected request.
func (s *State) mayTry(suspect crocushollow.SuspectRequest) bool {
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
	for _, suspicion := range suspect.Crashes {
		s.explained = s.explained.Set(suspicion.Upstream, struct{}{})
	}
}

func (s *State) dropSuspect(key string) {
	suspect, _ := s.suspects.Get(key)
	s.suspects = s.suspects.Delete(key)
	if suspect.IsLikelyCause() {
		for _, suspicion := range suspect.Crashes {
			s.explained = s.explained.Delete(suspicion.Upstream)
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
