// Package sharer moves the units of fleet-wide limits between instances. The
// holder of a shard owns the ledgers of the limits in it; every instance
// exchanges units with the owner of each limit that it uses.
//
// An exchange is numbered and sent again until it is answered, and the owner
// answers a repeated number with the kept answer, so units move exactly once.
// When the owner changes, each instance registers what it holds with the new
// one. Whatever no instance holds is free again once no departed instance can
// use it any more.
package sharer

import (
	"errors"
	"slices"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/state/detector"
	"github.com/crocushollow/crocushollow/state/limiter"
)

// Health is what an instance knows of the upstreams.
type Health interface {
	limiter.InFlightLimiter
	Status(upstream string) detector.Status
	RecordStatus(upstream string, status detector.Status)
	SuspectColdStart(upstream string)
	IsColdStartSuspected(upstream string) bool
}

// Exchange is an instance's message to the owner of one or more shards.
type Exchange struct {
	From   crocushollow.MemberID `cbor:"1,keyasint" json:"from"`
	Shards []ShardExchange       `cbor:"2,keyasint" json:"shards"`
}

// Validate checks the message when it is decoded.
func (e Exchange) Validate() error {
	if e.From.IsZero() {
		return errors.New("exchange without a sender")
	}
	for _, shard := range e.Shards {
		for _, part := range shard.Parts {
			if part.Held < 0 || part.Returned.Units < 0 || part.Returned.Level < 0 {
				return errors.New("exchange with a negative amount")
			}
		}
	}
	return nil
}

// ShardExchange is the part of an exchange that concerns one shard.
type ShardExchange struct {
	Shard crocushollow.Shard `cbor:"1,keyasint" json:"shard"`
	// Term names the owner's claim. An owner refuses other terms.
	Term uint64 `cbor:"2,keyasint" json:"term"`
	// Sequence grows by one with each new exchange of the shard in the term.
	Sequence uint64 `cbor:"3,keyasint" json:"sequence"`
	// Register tells that Held lists everything the sender holds.
	Register bool         `cbor:"4,keyasint,omitempty" json:"register,omitempty"`
	Parts    []PartReport `cbor:"5,keyasint,omitempty" json:"parts,omitempty"`
}

// PartReport is what an instance says about its part of one limit.
type PartReport struct {
	Key      limiter.ResourceKey  `cbor:"1,keyasint" json:"key"`
	Held     int64                `cbor:"2,keyasint,omitempty" json:"held,omitempty"`
	Returned limiter.Transfer     `cbor:"3,keyasint,omitzero" json:"returned,omitzero"`
	Request  limiter.DemandReport `cbor:"4,keyasint,omitzero" json:"request,omitzero"`
	// Suspected tells that the sender has just inferred a cold start of the
	// upstream.
	Suspected bool `cbor:"5,keyasint,omitempty" json:"suspected,omitempty"`
}

// ExchangeReply answers an Exchange.
type ExchangeReply struct {
	Shards []ShardReply `cbor:"1,keyasint" json:"shards"`
}

// Validate checks the message when it is decoded.
func (r ExchangeReply) Validate() error {
	for _, shard := range r.Shards {
		for _, part := range shard.Parts {
			if part.Granted.Units < 0 || part.Granted.Level < 0 || part.Keep < 0 {
				return errors.New("exchange reply with a negative amount")
			}
		}
	}
	return nil
}

// HasRefusal reports whether a shard of the exchange was refused.
func (r ExchangeReply) HasRefusal() bool {
	return slices.ContainsFunc(r.Shards, func(shard ShardReply) bool { return shard.Refused })
}

// ShardReply answers a ShardExchange.
type ShardReply struct {
	Shard    crocushollow.Shard `cbor:"1,keyasint" json:"shard"`
	Term     uint64             `cbor:"2,keyasint" json:"term"`
	Sequence uint64             `cbor:"3,keyasint" json:"sequence"`
	// Refused tells that the sender of the reply does not own the shard in the
	// term.
	Refused bool        `cbor:"4,keyasint,omitempty" json:"refused,omitempty"`
	Parts   []PartGrant `cbor:"5,keyasint,omitempty" json:"parts,omitempty"`
}

// PartGrant is the owner's answer about one limit.
type PartGrant struct {
	Key     limiter.ResourceKey `cbor:"1,keyasint" json:"key"`
	Granted limiter.Transfer    `cbor:"2,keyasint,omitzero" json:"granted,omitzero"`
	// Keep is the number of units that the instance should not exceed.
	Keep int64 `cbor:"3,keyasint" json:"keep"`
	// Status is what the owner knows of an upstream, nil for other limits.
	Status *detector.Status `cbor:"4,keyasint,omitempty" json:"status,omitempty"`
}
