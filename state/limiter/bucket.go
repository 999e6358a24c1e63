// Package limiter keeps limits that hold over all instances together.
//
// A limit is divided into units. Each instance holds some of the units and
// decides alone within its part; units move between instances only by being
// debited at the giver before they are credited at the receiver, so that a lost
// message or a dead instance can lose units but never create any. The scheme is
// the escrow method of O'Neil (ACM TODS 11(4), 1986) applied to token buckets.
package limiter

import (
	"sync"
	"time"
)

// BucketUnits is the number of units that a token bucket is divided into.
const BucketUnits int64 = 1 << 20

// Rate is a whole token bucket over all instances together.
type Rate struct {
	// PerSecond is the refill in tokens per second.
	PerSecond float64
	// Burst is the capacity in tokens.
	Burst float64
}

// Bucket is an instance's part of a token bucket. It is safe for concurrent
// use.
type Bucket struct {
	mu   sync.Mutex
	rate Rate
	// units is between 0 and BucketUnits.
	units int64
	// level is in tokens, at most Burst·units/BucketUnits. It is negative
	// after requests that used more than they were charged for.
	level float64
	// updated is when level was last brought up to date.
	updated time.Time
	// asked sums the tokens of all takes, granted or not, since the last
	// call of Demand.
	asked float64
	// askedSince is when asked was last reset.
	askedSince time.Time
	// demand is the result of the last measurement in tokens per second.
	demand float64
	// largest is the largest recent take in tokens.
	largest float64
}

// demandWindow is the least time over which a demand is measured.
const demandWindow = 150 * time.Millisecond

// NewBucket returns a part without units.
func NewBucket(rate Rate, now time.Time) *Bucket {
	return &Bucket{rate: rate, updated: now, askedSince: now}
}

// refill brings the level up to date. The caller holds mu.
func (b *Bucket) refill(now time.Time) {
	elapsed := now.Sub(b.updated)
	if elapsed <= 0 {
		return
	}
	b.updated = now
	part := float64(b.units) / float64(BucketUnits)
	b.level += elapsed.Seconds() * b.rate.PerSecond * part
	b.level = min(b.level, b.rate.Burst*part)
}

// SetRate changes the whole bucket and scales the part with it. The level is
// never raised.
func (b *Bucket) SetRate(rate Rate, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.rate = rate
	b.level = min(b.level, rate.Burst*float64(b.units)/float64(BucketUnits))
}

// Take removes tokens and reports whether there were enough.
func (b *Bucket) Take(tokens float64, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.asked += tokens
	b.largest = max(b.largest, tokens)
	return b.take(tokens, now)
}

// Retake is Take for tokens that have been asked for before and count as
// demand only once.
func (b *Bucket) Retake(tokens float64, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.take(tokens, now)
}

func (b *Bucket) take(tokens float64, now time.Time) bool {
	b.refill(now)
	if b.level < tokens {
		return false
	}
	b.level -= tokens
	return true
}

// Settle corrects the level of a request that was charged for one number of
// tokens and used another.
func (b *Bucket) Settle(charged, used float64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.level += charged - used
	b.level = min(b.level, b.rate.Burst*float64(b.units)/float64(BucketUnits))
}

// Units returns the number of units in the part.
func (b *Bucket) Units() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.units
}

// Level returns the tokens in the part.
func (b *Bucket) Level(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	return b.level
}

// Shortfall returns the tokens missing for a take.
func (b *Bucket) Shortfall(tokens float64, now time.Time) float64 {
	return max(tokens-b.Level(now), 0)
}

// Give debits units, and the level in proportion, for another instance.
func (b *Bucket) Give(units int64, now time.Time) Grant {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	units = min(units, b.units)
	if units <= 0 {
		return Grant{}
	}
	level := max(b.level, 0) * float64(units) / float64(b.units)
	b.units -= units
	b.level -= level
	b.level = min(b.level, b.rate.Burst*float64(b.units)/float64(BucketUnits))
	return Grant{Units: units, Level: level}
}

// Receive credits units that another instance has debited.
func (b *Bucket) Receive(grant Grant, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.units += grant.Units
	b.level += grant.Level
	b.level = min(b.level, b.rate.Burst*float64(b.units)/float64(BucketUnits))
}

// Drop removes all units and the level, as when the part is no longer valid.
func (b *Bucket) Drop(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.units = 0
	b.level = min(b.level, 0)
}

// Demand returns the tokens asked for per second, measured since the last
// measurement, and the largest single request in tokens.
func (b *Bucket) Demand(now time.Time) (perSecond, largest float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	elapsed := now.Sub(b.askedSince)
	if elapsed < demandWindow {
		return b.demand, b.largest
	}
	b.demand = b.asked / elapsed.Seconds()
	if b.asked == 0 {
		b.largest = 0
	}
	b.asked, b.askedSince = 0, now
	return b.demand, b.largest
}

// Grant is an amount that moves from one instance's part to another's.
type Grant struct {
	Units int64 `cbor:"1,keyasint" json:"units"`
	// Level is the part of the token bucket's level that moves along.
	Level float64 `cbor:"2,keyasint,omitempty" json:"level,omitempty"`
}

// IsZero reports whether nothing moves.
func (g Grant) IsZero() bool { return g.Units == 0 && g.Level == 0 }
