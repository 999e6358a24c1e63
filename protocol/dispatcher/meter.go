package dispatcher

import (
	"math"
	"time"
)

// meterMemory is the time constant over which a rate is measured.
const meterMemory = 2 * time.Second

// minMeterTime is how long a rate must have been measured to be trusted.
const minMeterTime = time.Second

// rateMeter measures a rate with an exponentially fading memory.
type rateMeter struct {
	amount  float64
	started time.Time
	updated time.Time
}

func (m *rateMeter) add(amount float64, now time.Time) {
	if m.started.IsZero() {
		m.started, m.updated = now, now
	}
	m.fade(now)
	m.amount += amount
}

func (m *rateMeter) fade(now time.Time) {
	m.amount *= math.Exp(-now.Sub(m.updated).Seconds() / meterMemory.Seconds())
	m.updated = now
}

// perSecond returns the rate, 0 if it is not known yet.
func (m *rateMeter) perSecond(now time.Time) float64 {
	if m.started.IsZero() || now.Sub(m.started) < minMeterTime {
		return 0
	}
	m.fade(now)
	return m.amount / meterMemory.Seconds()
}
