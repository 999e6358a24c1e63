package dispatcher

import (
	"math"
	"time"
)

// meterMemory is the time constant over which a rate is measured.
const meterMemory = 2 * time.Second

// minMeterTime is how long a rate must have been measured to be trusted.
const minMeterTime = time.Second

// rateMeter measures a rate with an exponentially fading memory. It measures
// the speed of service, so it runs only while requests wait: the rate of an idle
// model says nothing about its speed.
type rateMeter struct {
	amount  float64
	started time.Time
	updated time.Time
}

// start begins a measurement unless one runs.
func (m *rateMeter) start(now time.Time) {
	if m.started.IsZero() {
		m.started, m.updated = now, now
	}
}

// stop ends the measurement and forgets it.
func (m *rateMeter) stop() { *m = rateMeter{} }

func (m *rateMeter) add(amount float64, now time.Time) {
	if m.started.IsZero() {
		return
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
	measured := now.Sub(m.started)
	if m.started.IsZero() || measured < minMeterTime {
		return 0
	}
	m.fade(now)
	remembered := 1 - math.Exp(-measured.Seconds()/meterMemory.Seconds())
	return m.amount / (meterMemory.Seconds() * remembered)
}
