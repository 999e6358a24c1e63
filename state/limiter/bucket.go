// Package limiter enforces rate and concurrency limits that hold over all
// instances together.
//
// A limit is divided into units: fractions of a token bucket, or permits of a
// semaphore. Each instance holds a share of the units and decides within its
// share without asking its peers. A transfer debits the units at the sender
// before the receiver credits them, so a lost message or a crashed instance can
// lose units but never create any. This is the escrow method of O'Neil (ACM TODS
// 11(4), 1986) applied to token buckets.
package limiter

import (
	"sync"
	"time"
)

// UnitsPerBucket is the number of units that a token bucket is divided into.
const UnitsPerBucket int64 = 1 << 20

// RateLimit is the limit of a token bucket, over all instances together.
type RateLimit struct {
	// PerSecond is the refill rate in tokens per second.
	PerSecond float64
	// Burst is the capacity in tokens.
	Burst float64
}

// Bucket is an instance's share of a token bucket. It is safe for concurrent
// use.
type Bucket struct {
	mu   sync.Mutex
	rate RateLimit
	// units is between 0 and BucketUnits.
	units int64
	// level is in tokens, at most Burst·units/BucketUnits. It is negative
	// after requests that used more tokens than they were charged for.
	level float64
	// updated is the time of the last refill.
	updated time.Time
	// asked is the sum of the tokens requested from Take, granted or not, since
	// askedSince.
	asked float64
	// askedSince is the start of the current measurement of demand.
	askedSince time.Time
	// demand is the last measured demand in tokens per second.
	demand float64
	// largest is the largest recent request in tokens.
	largest float64
}

// demandWindow is the shortest time over which demand is measured.
const demandWindow = 150 * time.Millisecond

// NewBucket returns a share without units.
func NewBucket(rate RateLimit, now time.Time) *Bucket {
	return &Bucket{rate: rate, updated: now, askedSince: now}
}

// refill adds the tokens due since the last refill. The caller must lock mu.
func (b *Bucket) refill(now time.Time) {
	elapsed := now.Sub(b.updated)
	if elapsed <= 0 {
		return
	}
	b.updated = now
	part := float64(b.units) / float64(UnitsPerBucket)
	b.level += elapsed.Seconds() * b.rate.PerSecond * part
	b.level = min(b.level, b.rate.Burst*part)
}

// SetRateLimit changes the limit. It lowers the level to the new burst of the share
// but never raises it.
func (b *Bucket) SetRateLimit(rate RateLimit, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.rate = rate
	b.level = min(b.level, rate.Burst*float64(b.units)/float64(UnitsPerBucket))
}

// Take removes tokens and reports whether there were enough.
func (b *Bucket) Take(tokens float64, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.asked += tokens
	b.largest = max(b.largest, tokens)
	return b.take(tokens, now)
}

// RetryTake repeats a Take that has failed, without counting the tokens as demand
// again.
func (b *Bucket) RetryTake(tokens float64, now time.Time) bool {
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

// Settle adjusts the level once the number of tokens that a request has used is
// known. The level becomes negative if the request used more than it was charged
// for.
func (b *Bucket) Settle(charged, used float64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.level += charged - used
	b.level = min(b.level, b.rate.Burst*float64(b.units)/float64(UnitsPerBucket))
}

// Units returns the number of units in the share.
func (b *Bucket) Units() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.units
}

// Level returns the number of tokens that are available in the share.
func (b *Bucket) Level(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	return b.level
}

// Shortfall returns the number of tokens missing for a Take.
func (b *Bucket) Shortfall(tokens float64, now time.Time) float64 {
	return max(tokens-b.Level(now), 0)
}

// Debit debits up to the given number of units, and the level in proportion, for
// a transfer to another instance.
func (b *Bucket) Debit(units int64, now time.Time) Transfer {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	units = min(units, b.units)
	if units <= 0 {
		return Transfer{}
	}
	level := max(b.level, 0) * float64(units) / float64(b.units)
	b.units -= units
	b.level -= level
	b.level = min(b.level, b.rate.Burst*float64(b.units)/float64(UnitsPerBucket))
	return Transfer{Units: units, Level: level}
}

// Credit credits a transfer that another instance has debited.
func (b *Bucket) Credit(grant Transfer, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.units += grant.Units
	b.level += grant.Level
	b.level = min(b.level, b.rate.Burst*float64(b.units)/float64(UnitsPerBucket))
}

// Drop removes all units and available tokens. A negative level stays.
func (b *Bucket) Drop(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.units = 0
	b.level = min(b.level, 0)
}

// Demand returns the requested tokens per second since the last measurement, and
// the largest recent request in tokens. Within demandWindow of the last
// measurement it returns the previous result.
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

// Transfer is an amount that moves from the share of one instance to the share of
// another.
type Transfer struct {
	Units int64 `cbor:"1,keyasint" json:"units"`
	// Level is the number of tokens that move along with the units of a bucket.
	Level float64 `cbor:"2,keyasint,omitempty" json:"level,omitempty"`
}

// IsZero reports whether the grant is empty.
func (g Transfer) IsZero() bool { return g.Units == 0 && g.Level == 0 }
