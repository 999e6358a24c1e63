// Package estimator estimates how long requests take, from those of the same route that
// were served last and those that still run.
package estimator

import (
	"slices"
	"sync"
	"time"
)

const (
	// sampleCount is the number of served requests of a route that count.
	sampleCount = 64
	// minSampleCount is the number of served requests below which a route counts as unknown.
	minSampleCount = 16
	// baseMargin and sparseMargin give the factor by which a request may take longer than
	// any of the samples. The fewer samples there are, the less likely is the slowest of
	// them to be a slow one: the factor is baseMargin + sparseMargin / number of samples.
	baseMargin   = 1.25
	sparseMargin = 8.0
	// likelyQuantile is the fraction of the samples that do not exceed the likely duration.
	likelyQuantile = 0.9
)

// Request is a request whose duration is estimated.
type Request struct {
	Route string
	// OutputTokens is the maximum length of the output. It is 0 for a request that runs
	// no model.
	OutputTokens float64
}

// Estimator estimates the durations of requests. It is safe for concurrent use.
type Estimator struct {
	mu     sync.Mutex
	routes map[string]*route
}

// route holds what is known of the requests of a route.
type route struct {
	samples []sample
	// next is the index of the oldest sample once there are sampleCount of them.
	next    int
	running map[*Run]struct{}
}

// sample is the duration of a request that was served.
type sample struct {
	untilFirstByte time.Duration
	// perToken is the time per token of the maximum output after the first byte.
	perToken time.Duration
}

// Run is a request that runs. It must be ended once.
type Run struct {
	estimator *Estimator
	request   Request
	startedAt time.Time
}

// New returns an estimator that has seen no requests.
func New() *Estimator { return &Estimator{routes: make(map[string]*route)} }

// Begin records the arrival of a request.
func (e *Estimator) Begin(request Request, now time.Time) *Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	run := &Run{estimator: e, request: request, startedAt: now}
	e.route(request.Route).running[run] = struct{}{}
	return run
}

// Served ends the run of a request that was served, whose first byte was sent after
// untilFirstByte.
func (r *Run) Served(untilFirstByte time.Duration, now time.Time) {
	r.end(func(known *route) {
		rest := max(now.Sub(r.startedAt)-untilFirstByte, 0)
		known.add(sample{untilFirstByte: untilFirstByte, perToken: time.Duration(float64(rest) / r.request.tokens())})
	})
}

// Failed ends the run of a request that was not served. Its duration does not count.
func (r *Run) Failed() { r.end(func(*route) {}) }

func (r *Run) end(record func(*route)) {
	r.estimator.mu.Lock()
	defer r.estimator.mu.Unlock()
	known := r.estimator.route(r.request.Route)
	if _, isRunning := known.running[r]; isRunning {
		delete(known.running, r)
		record(known)
	}
}

// Estimate is the estimated duration of a request.
type Estimate struct {
	// IsKnown is false if too few requests of the route have been served.
	IsKnown bool
	// HasSamples is false if none has been served. The durations are 0 then.
	HasSamples bool
	// Likely is the duration that most requests do not exceed, Slowest one that none of the
	// latest exceeds, and Longest one that practically none does. The fewer samples there
	// are, the longer are Slowest and Longest.
	Likely, Slowest, Longest time.Duration
}

// Estimate returns how long a request takes that begins now, as far as the latest requests
// of its route show.
func (e *Estimator) Estimate(request Request, now time.Time) Estimate {
	e.mu.Lock()
	defer e.mu.Unlock()
	known := e.route(request.Route)
	count := len(known.samples)
	if count == 0 {
		return Estimate{}
	}
	durations := make([]time.Duration, 0, count)
	for _, s := range known.samples {
		durations = append(durations, s.untilFirstByte+time.Duration(float64(s.perToken)*request.tokens()))
	}
	slices.Sort(durations)
	// Running requests show an increase of the load before they end.
	var oldest time.Duration
	for run := range known.running {
		oldest = max(oldest, now.Sub(run.startedAt))
	}
	slowest := float64(max(durations[count-1], oldest))
	return Estimate{
		IsKnown:    count >= minSampleCount,
		HasSamples: true,
		Likely:     durations[int(likelyQuantile*float64(count))],
		Slowest:    time.Duration((1 + sparseMargin/float64(count) - sparseMargin/sampleCount) * slowest),
		Longest:    time.Duration((baseMargin + sparseMargin/float64(count)) * slowest),
	}
}

// tokens returns the length by which durations are scaled.
func (r *Request) tokens() float64 { return max(r.OutputTokens, 1) }

// route returns the state of a route. The caller must lock mu.
func (e *Estimator) route(name string) *route {
	known := e.routes[name]
	if known == nil {
		known = &route{running: make(map[*Run]struct{})}
		e.routes[name] = known
	}
	return known
}

func (r *route) add(s sample) {
	if len(r.samples) < sampleCount {
		r.samples = append(r.samples, s)
		return
	}
	r.samples[r.next] = s
	r.next = (r.next + 1) % sampleCount
}
