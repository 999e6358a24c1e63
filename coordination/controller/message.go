package controller

import (
	"errors"
	"time"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/coordination/follower"
	"github.com/crocushollow/crocushollow/state/placer"
)

// ProbeRequest asks a member for its state.
type ProbeRequest struct {
	From crocushollow.MemberID `json:"from"`
	// To is the life that the sender means. Another life does not answer.
	To crocushollow.MemberID `json:"to"`
	// Offset is the next offset that the sender will apply.
	Offset uint64 `json:"offset"`
}

// Validate checks the message when it is decoded.
func (r ProbeRequest) Validate() error {
	if r.From.IsZero() || r.To.IsZero() {
		return errors.New("probe without both lives")
	}
	return nil
}

// ProbeReply answers a ProbeRequest.
type ProbeReply struct {
	Offset   uint64        `json:"offset"`
	LogAge   time.Duration `json:"log_age"`
	Draining bool          `json:"draining,omitempty"`
}

// Validate checks the message when it is decoded.
func (r ProbeReply) Validate() error {
	if r.LogAge < 0 {
		return errors.New("probe reply with a negative age")
	}
	return nil
}

// FetchRequest asks a peer for the entries of the log from an offset on.
type FetchRequest struct {
	From uint64 `json:"from"`
}

// FetchReply holds entries, or the whole state if they are no longer kept.
type FetchReply struct {
	Entries []follower.Entry `json:"entries,omitempty"`
	State   []byte           `json:"state,omitempty"`
}

// CheckRequest asks a member whether it has heard from another one.
type CheckRequest struct {
	Suspect crocushollow.MemberID `json:"suspect"`
}

// CheckReply answers a CheckRequest.
type CheckReply struct {
	// Alive tells that the suspect has just answered.
	Alive bool `json:"alive"`
}

// PublishRequest asks a peer to append records on behalf of their author.
type PublishRequest struct {
	Batch []byte `json:"batch"`
}

// PublishReply answers a PublishRequest.
type PublishReply struct {
	Offset uint64 `json:"offset"`
}

// DemandReport tells the planner what a member's callers ask for.
type DemandReport struct {
	From   crocushollow.MemberID `json:"from"`
	Demand placer.Demand         `json:"demand"`
}

// Validate checks the message when it is decoded.
func (r DemandReport) Validate() error {
	if r.From.IsZero() {
		return errors.New("demand report without a sender")
	}
	return nil
}

// DemandReply answers a DemandReport.
type DemandReply struct{}
