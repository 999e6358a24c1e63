package controller

import (
	"errors"
	"time"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/coordination/follower"
	"github.com/crocushollow/crocushollow/state/placer"
)

// ProbeRequest checks whether a member is alive and how far it has applied the
// log.
type ProbeRequest struct {
	From crocushollow.MemberID `json:"from"`
	// To is the incarnation that the probe is addressed to. Another incarnation
	// of the instance does not answer.
	To crocushollow.MemberID `json:"to"`
	// Offset is the offset of the next log entry that the sender will apply.
	Offset uint64 `json:"offset"`
}

// Validate checks a decoded message.
func (r ProbeRequest) Validate() error {
	if r.From.IsZero() || r.To.IsZero() {
		return errors.New("probe without a sender or a recipient")
	}
	return nil
}

// ProbeReply answers a ProbeRequest.
type ProbeReply struct {
	// Offset is the offset of the next log entry that the member will apply.
	Offset uint64 `json:"offset"`
	// LogAge is the time since Offset was known to be the head of the log.
	LogAge   time.Duration `json:"log_age"`
	Draining bool          `json:"draining,omitempty"`
}

// Validate checks a decoded message.
func (r ProbeReply) Validate() error {
	if r.LogAge < 0 {
		return errors.New("probe reply with a negative log age")
	}
	return nil
}

// FetchLogRequest asks a peer for the log entries from an offset on.
type FetchLogRequest struct {
	From uint64 `json:"from"`
}

// FetchLogReply holds log entries, or the encoded state if the peer no longer
// retains them.
type FetchLogReply struct {
	Entries []follower.Entry `json:"entries,omitempty"`
	State   []byte           `json:"state,omitempty"`
}

// CheckSuspectRequest asks a member whether it can reach a suspect.
type CheckSuspectRequest struct {
	Suspect crocushollow.MemberID `json:"suspect"`
}

// CheckSuspectReply answers a CheckSuspectRequest.
type CheckSuspectReply struct {
	// Alive is true if the suspect has recently answered a probe of the member.
	Alive bool `json:"alive"`
}

// PublishRequest asks a peer to append a batch of records to the log on behalf
// of their author.
type PublishRequest struct {
	Batch []byte `json:"batch"`
}

// PublishReply answers a PublishRequest.
type PublishReply struct {
	Offset uint64 `json:"offset"`
}

// DemandReport reports a member's request demand per model to the planner.
type DemandReport struct {
	From   crocushollow.MemberID `json:"from"`
	Demand placer.Demand         `json:"demand"`
}

// Validate checks a decoded message.
func (r DemandReport) Validate() error {
	if r.From.IsZero() {
		return errors.New("demand report without a sender")
	}
	return nil
}

// DemandReply answers a DemandReport.
type DemandReply struct{}
