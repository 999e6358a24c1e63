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
	mu    sync.Mutex
	limit RateLimit
	// units is between 0 and UnitsPerBucket.
	units int64
	// level is in tokens, at most Burst·units/UnitsPerBucket. It is negative
	// after requests that used more tokens than they were charged for.
	level float64
	// refilledAt is the time of the last refill.
	refilledAt time.Time
	// requested is the sum of the tokens requested from Take, granted or not,
	// since measuredSince.
	requested float64
	// measuredSince is the start of the current measurement of demand.
	measuredSince time.Time
	// demandPerSecond is the last measured demand in tokens per second.
	demandPerSecond float64
	// largestRequest is the largest recent request in tokens.
	largestRequest float64
}

// minDemandWindow is the shortest time over which demand is measured.
const minDemandWindow = 150 * time.Millisecond

// NewBucket returns a share without units.
func NewBucket(limit RateLimit, now time.Time) *Bucket {
	return &Bucket{limit: limit, refilledAt: now, measuredSince: now}
}

// refill adds the tokens due since the last refill. The caller must lock mu.
func (b *Bucket) refill(now time.Time) {
	elapsed := now.Sub(b.refilledAt)
	if elapsed <= 0 {
		return
	}
	b.refilledAt = now
	fraction := float64(b.units) / float64(UnitsPerBucket)
	b.level += elapsed.Seconds() * b.limit.PerSecond * fraction
	b.level = min(b.level, b.limit.Burst*fraction)
}

// SetRateLimit changes the limit. It lowers the level to the new burst of the
// share but never raises it.
func (b *Bucket) SetRateLimit(limit RateLimit, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.limit = limit
	b.level = min(b.level, limit.Burst*float64(b.units)/float64(UnitsPerBucket))
}

// Take removes tokens and reports whether there were enough.
func (b *Bucket) Take(tokens float64, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requested += tokens
	b.largestRequest = max(b.largestRequest, tokens)
	return b.take(tokens, now)
}

// RetryTake repeats a Take that has failed, without counting the tokens as
// demand again.
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
	b.level = min(b.level, b.limit.Burst*float64(b.units)/float64(UnitsPerBucket))
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

// Debit removes up to the given number of units, and the level in proportion, for
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
	b.level = min(b.level, b.limit.Burst*float64(b.units)/float64(UnitsPerBucket))
	return Transfer{Units: units, Level: level}
}

// Credit adds a transfer that another instance has debited.
func (b *Bucket) Credit(transfer Transfer, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.units += transfer.Units
	b.level += transfer.Level
	b.level = min(b.level, b.limit.Burst*float64(b.units)/float64(UnitsPerBucket))
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
// the largest recent request in tokens. Within minDemandWindow of the last
// measurement it returns the previous result.
func (b *Bucket) Demand(now time.Time) (perSecond, largest float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	elapsed := now.Sub(b.measuredSince)
	if elapsed < minDemandWindow {
		return b.demandPerSecond, b.largestRequest
	}
	b.demandPerSecond = b.requested / elapsed.Seconds()
	if b.requested == 0 {
		b.largestRequest = 0
	}
	b.requested, b.measuredSince = 0, now
	return b.demandPerSecond, b.largestRequest
}

// Transfer is an amount that moves between an instance's share and the owner of
// the limit.
type Transfer struct {
	Units int64 `cbor:"1,keyasint" json:"units"`
	// Level is the number of tokens that move along with the units of a bucket.
	Level float64 `cbor:"2,keyasint,omitempty" json:"level,omitempty"`
}

// IsZero reports whether nothing is transferred.
func (t Transfer) IsZero() bool { return t.Units == 0 && t.Level == 0 }
