package gossiper

import (
	"errors"

	"github.com/crocushollow/crocushollow/state/aggregator"
)

// digestMarker is the first byte of a message that holds a Digest. No CBOR item
// that an instance sends starts with this byte.
const digestMarker = 0xff

func isDigest(payload []byte) bool { return len(payload) > 1 && payload[0] == digestMarker }

// PeerStatus is the status of an instance in a roster.
type PeerStatus struct {
	Peer     Peer `cbor:"1,keyasint"`
	Ready    bool `cbor:"2,keyasint,omitempty"`
	Draining bool `cbor:"3,keyasint,omitempty"`
	// FencingToken is the instance's fencing token if it is the planner leader, and
	// 0 otherwise.
	FencingToken int64 `cbor:"4,keyasint,omitempty"`
}

// Roster lists the instances of an availability zone that are alive, as the zone's
// aggregator knows them.
type Roster struct {
	AvailabilityZone string `cbor:"1,keyasint"`
	// Version identifies the content of Peers. It differs between aggregators.
	Version uint64 `cbor:"2,keyasint"`
	// Peers is empty if the receiver should know this version.
	Peers []PeerStatus `cbor:"3,keyasint,omitempty"`
	// IsComplete means that an instance of the zone that is not in Peers is gone.
	IsComplete bool `cbor:"4,keyasint,omitempty"`
}

// Digest is a message from the aggregator of an availability zone: to the instances
// of its zone about all others, and to the aggregators of other zones about its
// zone.
type Digest struct {
	From Peer `cbor:"1,keyasint"`
	// IsBetweenZones means that the digest covers the sender's zone only.
	IsBetweenZones bool     `cbor:"2,keyasint,omitempty"`
	Rosters        []Roster `cbor:"3,keyasint,omitempty"`
	// Sums is nil while the aggregator has not heard all instances yet.
	Sums *aggregator.Sums `cbor:"4,keyasint,omitempty"`
	// UptimeSeconds is the time since the sender's start.
	UptimeSeconds int64 `cbor:"5,keyasint,omitempty"`
	// IsPassedOn means that the digest did not come from its sender directly.
	IsPassedOn bool `cbor:"7,keyasint,omitempty"`
	// Relayed holds encoded partial heartbeats of other instances.
	Relayed [][]byte `cbor:"6,keyasint,omitempty"`
}

var errForeignRoster = errors.New("digest between zones lists another zone")

// Validate implements encoder.Validator.
func (d Digest) Validate() error {
	if err := d.From.Validate(); err != nil {
		return err
	}
	for _, roster := range d.Rosters {
		if d.IsBetweenZones && roster.AvailabilityZone != d.From.AvailabilityZone {
			return errForeignRoster
		}
		for _, status := range roster.Peers {
			if err := status.Peer.Validate(); err != nil {
				return err
			}
		}
	}
	return nil
}
