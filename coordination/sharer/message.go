// Package sharer distributes the quotas of fleet-wide limits among instances. A
// quota is the part of a limit that one instance may use on its own, counted in
// units: fractions of a token bucket or permits of a semaphore. The owner of a
// shard keeps the ledgers of the limits in it. Every instance requests and
// returns units in exchanges with the owner of each limit that it uses.
//
// Each exchange has a sequence number and is sent again until it is answered.
// The owner answers a repeated number with the stored reply, so units move
// exactly once. When the owner of a shard changes, each instance registers the
// units that it holds with the new owner. The new owner reclaims all other
// units once no departed instance can still use them.
package sharer

import (
	"errors"
	"slices"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/state/detector"
	"github.com/crocushollow/crocushollow/state/limiter"
)

// UpstreamHealth tracks the state of upstreams as far as an instance knows it.
type UpstreamHealth interface {
	limiter.InFlightLimiter
	Status(upstream string) detector.Status
	RecordStatus(upstream string, status detector.Status)
	SuspectColdStart(upstream string)
	IsColdStartSuspected(upstream string) bool
}

// Exchange is a request of an instance to the owner of one or more shards.
type Exchange struct {
	From   crocushollow.MemberID `cbor:"1,keyasint" json:"from"`
	Shards []ShardExchange       `cbor:"2,keyasint" json:"shards"`
}

// Validate checks a decoded message.
func (e Exchange) Validate() error {
	if e.From.IsZero() {
		return errors.New("exchange without a sender")
	}
	for _, shard := range e.Shards {
		for _, report := range shard.Reports {
			if report.HeldUnits < 0 || report.Returned.Units < 0 || report.Returned.Level < 0 {
				return errors.New("exchange with a negative amount")
			}
		}
	}
	return nil
}

// ShardExchange is the part of an exchange about one shard.
type ShardExchange struct {
	Shard crocushollow.Shard `cbor:"1,keyasint" json:"shard"`
	// Term identifies the owner's claim of the shard. An owner refuses other
	// terms.
	Term uint64 `cbor:"2,keyasint" json:"term"`
	// Sequence increases by one with each new exchange about the shard in the
	// term.
	Sequence uint64 `cbor:"3,keyasint" json:"sequence"`
	// Register is true if Reports lists all quotas that the sender holds in the
	// shard.
	Register bool          `cbor:"4,keyasint,omitempty" json:"register,omitempty"`
	Reports  []QuotaReport `cbor:"5,keyasint,omitempty" json:"parts,omitempty"`
}

// QuotaReport is an instance's report about its quota of one limit.
type QuotaReport struct {
	Key limiter.ResourceKey `cbor:"1,keyasint" json:"key"`
	// HeldUnits is the number of units held. It is set only in a registration.
	HeldUnits int64                `cbor:"2,keyasint,omitempty" json:"held,omitempty"`
	Returned  limiter.Transfer     `cbor:"3,keyasint,omitzero" json:"returned,omitzero"`
	Request   limiter.DemandReport `cbor:"4,keyasint,omitzero" json:"request,omitzero"`
	// ColdStartSuspected is true if the sender has just inferred a cold start
	// of the upstream.
	ColdStartSuspected bool `cbor:"5,keyasint,omitempty" json:"suspected,omitempty"`
}

// ExchangeReply answers an Exchange.
type ExchangeReply struct {
	Shards []ShardReply `cbor:"1,keyasint" json:"shards"`
}

// Validate checks a decoded message.
func (r ExchangeReply) Validate() error {
	for _, shard := range r.Shards {
		for _, grant := range shard.Grants {
			if grant.Granted.Units < 0 || grant.Granted.Level < 0 || grant.MaxUnits < 0 {
				return errors.New("exchange reply with a negative amount")
			}
		}
	}
	return nil
}

// HasRefusal reports whether the owner refused any shard of the exchange.
func (r ExchangeReply) HasRefusal() bool {
	return slices.ContainsFunc(r.Shards, func(shard ShardReply) bool { return shard.Refused })
}

// ShardReply answers a ShardExchange.
type ShardReply struct {
	Shard    crocushollow.Shard `cbor:"1,keyasint" json:"shard"`
	Term     uint64             `cbor:"2,keyasint" json:"term"`
	Sequence uint64             `cbor:"3,keyasint" json:"sequence"`
	// Refused is true if the sender of the reply cannot handle the exchange: it
	// does not own the shard in the term, the sender of the exchange is not a
	// member or has not registered, or the sequence number is outdated.
	Refused bool         `cbor:"4,keyasint,omitempty" json:"refused,omitempty"`
	Grants  []QuotaGrant `cbor:"5,keyasint,omitempty" json:"parts,omitempty"`
}

// QuotaGrant is the owner's decision about an instance's quota of one limit.
type QuotaGrant struct {
	Key     limiter.ResourceKey `cbor:"1,keyasint" json:"key"`
	Granted limiter.Transfer    `cbor:"2,keyasint,omitzero" json:"granted,omitzero"`
	// MaxUnits is the number of units above which the instance must return the
	// excess.
	MaxUnits int64 `cbor:"3,keyasint" json:"keep"`
	// Status is the upstream's status as known to the owner. It is nil for
	// limits that do not concern an upstream.
	Status *detector.Status `cbor:"4,keyasint,omitempty" json:"status,omitempty"`
}
