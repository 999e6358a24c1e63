package crocushollow

import "errors"

// Incarnation distinguishes the starts of an instance. It is random and not 0.
type Incarnation uint64

// Member is one incarnation of an instance.
type Member struct {
	// ID is the name of the instance.
	ID string `json:"id"`
	// Incarnation changes at every start.
	Incarnation Incarnation `json:"incarnation"`
	// CallerAddress is the address that callers connect to.
	CallerAddress string `json:"caller_address"`
	// PeerAddress is the address that peers connect to.
	PeerAddress string `json:"peer_address"`
	// AvailabilityZone is the zone that the instance runs in.
	AvailabilityZone string `json:"availability_zone"`
	// Draining reports that the instance is shutting down and accepts no new
	// work.
	Draining bool `json:"draining,omitempty"`
}

// Validate checks that the member is identified.
func (m Member) Validate() error {
	if m.ID == "" || m.Incarnation == 0 {
		return errors.New("member has no id or incarnation")
	}
	return nil
}

// MemberID returns the instance and incarnation that identify the member.
func (m Member) MemberID() MemberID { return MemberID{Instance: m.ID, Incarnation: m.Incarnation} }

// MemberID identifies one incarnation of an instance.
type MemberID struct {
	Instance    string      `json:"instance"`
	Incarnation Incarnation `json:"incarnation"`
}

// IsZero reports whether the MemberID is unset.
func (id MemberID) IsZero() bool { return id == MemberID{} }
