package planner

import (
	"math"
	"time"
)

const (
	// shortHalfLife, mediumHalfLife and longHalfLife are the half-lives of the demand
	// averages.
	shortHalfLife  = 1500 * time.Millisecond
	mediumHalfLife = 3 * time.Second
	longHalfLife   = 20 * time.Second
	// longWeight is the weight of the long demand average.
	longWeight = 0.25
	// growthThreshold is the ratio of the short to the medium average above which
	// demand grows. Below it the difference may be chance.
	growthThreshold = 1.2
	// growthFactor extrapolates growing demand to the time at which a load that
	// begins now is complete, and maxGrowth bounds the result as a multiple of the
	// short average.
	growthFactor = 5.0
	maxGrowth    = 3.0
)

// demandForecast forecasts the demand for each model from exponentially weighted
// moving averages. A load takes seconds, so replicas that follow the current demand
// are late while it grows.
type demandForecast struct {
	short, medium, long map[string]float64
	updatedAt           time.Time
}

// update adds a sample of the current demand per model, in engines.
func (d *demandForecast) update(demand map[string]float64, now time.Time) {
	if d.short == nil {
		d.short, d.medium, d.long, d.updatedAt = make(map[string]float64), make(map[string]float64), make(map[string]float64), now
	}
	elapsed := now.Sub(d.updatedAt)
	d.updatedAt = now
	updateAverage(d.short, demand, elapsed, shortHalfLife)
	updateAverage(d.medium, demand, elapsed, mediumHalfLife)
	updateAverage(d.long, demand, elapsed, longHalfLife)
}

// updateAverage decays an average over the elapsed time and adds a new sample.
func updateAverage(average, demand map[string]float64, elapsed, halfLife time.Duration) {
	retained := math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
	for name := range average {
		average[name] *= retained
	}
	for name, value := range demand {
		average[name] += value * (1 - retained)
	}
}

// perModel returns the demand to plan for: the forecast from the short and the
// medium average, or the weighted long average if that is higher.
func (d *demandForecast) perModel() map[string]float64 {
	total := make(map[string]float64, len(d.long))
	for name, value := range d.long {
		short := d.short[name]
		growth := max(short-growthThreshold*d.medium[name], 0)
		forecast := min(short+growthFactor*growth, maxGrowth*short)
		total[name] = max(forecast, longWeight*value)
	}
	return total
}
