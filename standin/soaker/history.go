package soaker

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/crocushollow/crocushollow/platform/platformtest"
)

// history records the calls, faults and upstream observations of a run.
type history struct {
	mu sync.Mutex
	// calls holds the calls in the order in which they ended.
	calls []call
	// instanceFaults holds the faults of each instance.
	instanceFaults map[string][]interval
	// storeLinkFaults holds the faults of each instance's connections to the store.
	storeLinkFaults map[string][]interval
	// plannedStops holds the graceful shutdowns of each instance, from SIGTERM until its
	// restart, and storeFaults
	// the faults of the store that affect all instances.
	plannedStops map[string][]interval
	storeFaults  []interval
	// reloads holds when instances got SIGHUP.
	reloads map[string][]time.Time
	// linkFaults holds when the connections to an upstream were refused or closed, by ID.
	linkFaults map[string][]interval
	// linkDisruptions holds when the connections to an upstream were disrupted in any way, by
	// ID.
	linkDisruptions map[string][]interval
	// silentLinks holds when an upstream's responses did not reach the instances, by ID.
	silentLinks map[string][]interval
	// edits holds the changes of the table, zoneOutages the times in which a zone
	// was out of service, and drainedAt when an upstream announced that it drains.
	edits       []edit
	zoneOutages map[string][]interval
	drainedAt   map[string]time.Time
	// rateLimits holds the times in which upstreams named a rate limit.
	rateLimits []rateLimit
	// brokenUpstreams holds the times in which upstreams answered every request badly.
	brokenUpstreams []brokenUpstream
	upstreams       []upstream
	// memory holds the largest resident memory of each process in MB, and exits describes
	// the processes that ended by themselves.
	memory map[string]int
	exits  []string
	// baseline and recovery are the times before and after the faults in which the share of
	// served calls is measured.
	baseline, recovery interval
	// limitRate is the workspace's limit in tokens per second.
	limitRate float64
}

// addMemory records the largest resident memory of a process.
func (h *history) addMemory(name string, megabytes int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.memory[name] = max(h.memory[name], megabytes)
}

// addExit records a process that ended by itself.
func (h *history) addExit(description string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.exits = append(h.exits, description)
}

// interval is a time range. A zero end means that it is still open.
type interval struct{ from, until time.Time }

// overlaps reports whether the interval overlaps the given time range.
func (s interval) overlaps(from, until time.Time) bool {
	return s.from.Before(until) && (s.until.IsZero() || s.until.After(from))
}

// rateLimit is a rate limit that an incarnation of an upstream named for some time, in
// requests per second.
type rateLimit struct {
	interval
	incarnation string
	perSecond   float64
}

// brokenUpstream is an incarnation of an upstream that answered every request badly for some
// time.
type brokenUpstream struct {
	interval
	incarnation string
	behaviour   platformtest.Behaviour
}

func (h *history) addBroken(broken brokenUpstream) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.brokenUpstreams = append(h.brokenUpstreams, broken)
}

// edit is a change of the table. It lists the added paths and the valid keys after the change.
type edit struct {
	at    time.Time
	paths []string
	keys  []string
}

// call is a finished call with its result.
type call struct {
	id       string
	kind     callKind
	path     string
	key      string
	instance string
	// sentAt is when the caller began to send the call, and writtenAt when it had sent its
	// last byte, or zero.
	sentAt    time.Time
	writtenAt time.Time
	endedAt   time.Time
	// dropped holds the earlier attempts of the transport.
	dropped []drop
	// status is 0 if no response arrived.
	status     int
	header     http.Header
	body       string
	events     []int
	isComplete bool
	// chain is the ID of the attempt that brought the first event of the stream, or else of
	// this one. The stream goes on at firstEvent, and lastEvent is the last one that the
	// caller has, from this attempt or an earlier one.
	chain      string
	firstEvent int
	lastEvent  int
	// versions lists the software versions of the upstreams that sent the events.
	versions []string
	// canceled is set if the caller canceled the call, and refused if the
	// instance refused the connection.
	canceled bool
	refused  bool
}

// retryAfter reports whether the call was rejected as not run, and after which time the
// caller may send it again.
func (c *call) retryAfter() (time.Duration, bool) {
	seconds, err := strconv.ParseFloat(c.header.Get("Retry-After"), 64)
	if err != nil {
		return 0, false
	}
	return time.Duration(seconds * float64(time.Second)), meansNotExecuted(c.status)
}

// upstream holds what one incarnation of an upstream observed.
type upstream struct {
	id string
	// incarnation distinguishes the processes of an upstream across restarts.
	incarnation string
	zone        string
	service     string
	runs        []platformtest.Execution
	arrivals    []platformtest.Arrival
	orders      []platformtest.ExecutedOrder
	faults      []string
}

func (h *history) addRateLimit(limit rateLimit) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rateLimits = append(h.rateLimits, limit)
}

func newHistory() *history {
	return &history{
		instanceFaults: make(map[string][]interval), storeLinkFaults: make(map[string][]interval), plannedStops: make(map[string][]interval),
		linkFaults: make(map[string][]interval), linkDisruptions: make(map[string][]interval), silentLinks: make(map[string][]interval), reloads: make(map[string][]time.Time),
		zoneOutages: make(map[string][]interval), drainedAt: make(map[string]time.Time), memory: make(map[string]int),
	}
}

func (h *history) addCall(c call) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls = append(h.calls, c)
}

// addInstanceFault records a fault of an instance.
func (h *history) addInstanceFault(instance string, from, until time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.instanceFaults[instance] = append(h.instanceFaults[instance], interval{from, until})
}

// addStoreLinkFault records a fault of an instance's connections to the store.
func (h *history) addStoreLinkFault(instance string, from, until time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.storeLinkFaults[instance] = append(h.storeLinkFaults[instance], interval{from, until})
}

func (h *history) addUpstream(engine *platformtest.Upstream) {
	h.upstreams = append(h.upstreams, upstream{
		id: engine.ID(), incarnation: engine.ID() + "/" + engine.Address(), zone: engine.Zone(), service: engine.Service(), runs: engine.Executions(),
		arrivals: engine.Arrivals(), orders: engine.ExecutedOrders(), faults: engine.LimitViolations(),
	})
}

// addPlannedStop records a graceful shutdown of an instance.
func (h *history) addPlannedStop(instance string, s interval) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.plannedStops[instance] = append(h.plannedStops[instance], s)
}

// addStoreFault records a fault of the store that affects all instances.
func (h *history) addStoreFault(from, until time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.storeFaults = append(h.storeFaults, interval{from, until})
}

// addLinkFault records that the connections to an upstream are refused or closed.
func (h *history) addLinkFault(upstream string, from, until time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.linkFaults[upstream] = append(h.linkFaults[upstream], interval{from, until})
}

// addLinkDisruption records that connections to an upstream are disrupted.
func (h *history) addLinkDisruption(upstream string, from, until time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.linkDisruptions[upstream] = append(h.linkDisruptions[upstream], interval{from, until})
}

// addSilentLink records that an upstream's responses do not reach the instances.
func (h *history) addSilentLink(upstream string, from, until time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.silentLinks[upstream] = append(h.silentLinks[upstream], interval{from, until})
}

// addReload records that an instance got SIGHUP.
func (h *history) addReload(instance string, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reloads[instance] = append(h.reloads[instance], at)
}

// addDrain records that an incarnation of an upstream announced that it drains.
func (h *history) addDrain(upstream string, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.drainedAt[upstream] = at
}

// addZoneOutage records a time in which a zone was out of service.
func (h *history) addZoneOutage(zone string, s interval) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.zoneOutages[zone] = append(h.zoneOutages[zone], s)
}

func (h *history) addEdit(e edit) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.edits = append(h.edits, e)
}
