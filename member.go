package crocushollow

import "errors"

// Incarnation tells the lives of an instance apart. It is random and not 0.
type Incarnation uint64

// Member is one life of an instance.
type Member struct {
	// ID names the instance.
	ID string `json:"id"`
	// Incarnation changes at every start.
	Incarnation Incarnation `json:"incarnation"`
	// CallerAddress is the address that callers connect to.
	CallerAddress string `json:"caller_address"`
	// PeerAddress is the address that other instances connect to.
	PeerAddress string `json:"peer_address"`
	// AvailabilityZone is the zone the instance runs in.
	AvailabilityZone string `json:"availability_zone"`
	// Draining tells that the instance is shutting down and gets no new work.
	Draining bool `json:"draining,omitempty"`
}

// Validate checks that the member can be told from others.
func (m Member) Validate() error {
	if m.ID == "" || m.Incarnation == 0 {
		return errors.New("member without an id or incarnation")
	}
	return nil
}

// MemberID returns the pair that identifies the member.
func (m Member) MemberID() MemberID { return MemberID{Instance: m.ID, Incarnation: m.Incarnation} }

// MemberID identifies one life of an instance.
type MemberID struct {
	Instance    string      `json:"instance"`
	Incarnation Incarnation `json:"incarnation"`
}

// IsZero reports whether the life is unset.
func (l MemberID) IsZero() bool { return l == MemberID{} }
