package dispatcher

import (
	"math"
	"time"
)

// meterTimeConstant is the time constant of the exponential decay.
const meterTimeConstant = 2 * time.Second

// minMeasurement is the time after which a measured rate is reliable.
const minMeasurement = time.Second

// rateMeter measures a rate with exponential decay. It measures throughput, so it
// runs only while requests wait: the rate of an idle model says nothing about its
// throughput.
type rateMeter struct {
	amount  float64
	started time.Time
	updated time.Time
}

// start starts a measurement unless one is running.
func (m *rateMeter) start(now time.Time) {
	if m.started.IsZero() {
		m.started, m.updated = now, now
	}
}

// stop ends the measurement and discards it.
func (m *rateMeter) stop() { *m = rateMeter{} }

func (m *rateMeter) add(amount float64, now time.Time) {
	if m.started.IsZero() {
		return
	}
	m.decay(now)
	m.amount += amount
}

func (m *rateMeter) decay(now time.Time) {
	m.amount *= math.Exp(-now.Sub(m.updated).Seconds() / meterTimeConstant.Seconds())
	m.updated = now
}

// perSecond returns the rate, or 0 if it is not known yet.
func (m *rateMeter) perSecond(now time.Time) float64 {
	measured := now.Sub(m.started)
	if m.started.IsZero() || measured < minMeasurement {
		return 0
	}
	m.decay(now)
	weight := 1 - math.Exp(-measured.Seconds()/meterTimeConstant.Seconds())
	return m.amount / (meterTimeConstant.Seconds() * weight)
}
