package planner

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// forecastAt feeds demand to a forecast in each plan period and returns the forecasts
// by time.
func forecastAt(duration time.Duration, demand func(seconds float64) float64) []float64 {
	var d demandForecast
	start := time.Unix(1000, 0)
	var forecasts []float64
	for at := time.Duration(0); at < duration; at += planPeriod {
		d.update(map[string]float64{"m": demand(at.Seconds())}, start.Add(at))
		forecasts = append(forecasts, d.perModel()["m"])
	}
	return forecasts
}

// Demand that moves to another model grows for some seconds. The replicas that will
// be needed when a load completes must be planned while it still grows.
func TestForecastLeadsGrowingDemand(t *testing.T) {
	const rampStart, rampEnd, peak = 20.0, 27.0, 10.0
	demand := func(seconds float64) float64 {
		return 0.2 + peak*min(max((seconds-rampStart)/(rampEnd-rampStart), 0), 1)
	}
	forecasts := forecastAt(40*time.Second, demand)
	for _, seconds := range []float64{23, 24, 25, 26} {
		forecast := forecasts[int(seconds*float64(time.Second)/float64(planPeriod))]
		if now := demand(seconds); forecast < now {
			t.Errorf("%.0f s: forecast %.1f, demand %.1f", seconds, forecast, now)
		}
		if forecast > 1.3*peak {
			t.Errorf("%.0f s: forecast %.1f of at most %.1f", seconds, forecast, peak)
		}
	}
	if last := forecasts[len(forecasts)-1]; math.Abs(last-demand(40)) > 0.05*peak {
		t.Errorf("forecast of steady demand %.1f, demand %.1f", last, demand(40))
	}
}

// Steady demand of few requests varies by chance. Replicas must not follow it.
func TestForecastIgnoresChance(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 7))
	// Each request takes 0.1 s of an engine, and 20 arrive in a second on average.
	average := 0.0
	forecasts := forecastAt(300*time.Second, func(float64) float64 {
		arrivals := 0
		for range 40 {
			if random.Float64() < 20*planPeriod.Seconds()/40 {
				arrivals++
			}
		}
		// Instances report an average with a half-life of a second.
		average += (float64(arrivals)*0.1/planPeriod.Seconds() - average) * (1 - math.Exp2(-planPeriod.Seconds()))
		return average
	})
	excessive := 0
	for _, forecast := range forecasts[100:] {
		if forecast > 2*1.5 {
			excessive++
		}
	}
	if limit := len(forecasts) / 50; excessive > limit {
		t.Errorf("forecast above 1.5 times the demand in %d of %d plans, at most %d", excessive, len(forecasts), limit)
	}
}
