package soaker

import (
	"slices"
	"time"

	"github.com/crocushollow/crocushollow/platform/platformtest"
	"github.com/crocushollow/crocushollow/standin/faultproxy"
)

// upstreamLink is the network path from the instances to one upstream.
type upstreamLink struct{ proxy *faultproxy.Proxy }

// proxyUpstream puts a proxy in front of an upstream. A restarted upstream keeps
// its proxy.
func (s *Soaker) proxyUpstream(id string, engine *platformtest.Upstream) error {
	if known := s.links[id]; known != nil {
		known.proxy.SetTarget(engine.Address())
		engine.SetAdvertisedAddress(known.proxy.Address())
		return nil
	}
	proxy, err := faultproxy.Start("127.0.0.1:0", engine.Address())
	if err != nil {
		return err
	}
	s.links[id] = &upstreamLink{proxy: proxy}
	engine.SetAdvertisedAddress(proxy.Address())
	return nil
}

// pickUpstream returns the ID of a random upstream that isn't draining, or an
// empty string if there is none.
func (i *injector) pickUpstream() string {
	var ids []string
	for id := range i.soaker.site.Upstreams() {
		if !i.busy[id] {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	if len(ids) == 0 {
		return ""
	}
	return ids[i.random.IntN(len(ids))]
}

// degradeLink blocks or delays the connections to one upstream.
func (i *injector) degradeLink() {
	id := i.pickUpstream()
	link := i.soaker.links[id]
	if link == nil {
		return
	}
	choices := []faultproxy.Fault{faultproxy.Blackhole, faultproxy.Refuse, faultproxy.DropResponses, faultproxy.Forward}
	fault := choices[i.random.IntN(len(choices))]
	link.proxy.SetDefaultFault(fault)
	if fault == faultproxy.Forward {
		link.proxy.SetDelay(time.Duration(i.random.IntN(200)) * time.Millisecond)
	}
	from := time.Now()
	at := i.scheduleEnd(func() {
		link.proxy.SetDefaultFault(faultproxy.Forward)
		link.proxy.SetDelay(0)
		i.recordLinkFault(id, fault, from, time.Now())
	})
	i.recordLinkFault(id, fault, from, at)
	// Connections that have lost bytes stay silent afterwards.
	i.soaker.history.addLinkDisruption(id, from, at.Add(longCallTimeout))
}

// recordLinkFault records what a fault of a link means for its connections.
func (i *injector) recordLinkFault(id string, fault faultproxy.Fault, from, until time.Time) {
	switch fault {
	case faultproxy.Refuse:
		i.soaker.history.addLinkFault(id, from, until)
	case faultproxy.Blackhole, faultproxy.DropResponses:
		i.soaker.history.addSilentLink(id, from, until)
	default:
	}
}

// blackholeLink blackholes the open connections of one proxy, without an end.
func (i *injector) blackholeLink() {
	if i.random.IntN(2) == 0 {
		p := i.soaker.fleet[i.random.IntN(len(i.soaker.fleet))]
		p.store.BlackholeOpenConnections()
		i.soaker.history.addStoreLinkFault(p.name, time.Now(), time.Now())
		return
	}
	id := i.pickUpstream()
	if link := i.soaker.links[id]; link != nil {
		link.proxy.BlackholeOpenConnections()
		i.soaker.history.addLinkDisruption(id, time.Now(), time.Now().Add(longCallTimeout))
	}
}

// crashUpstream crashes an upstream, which restarts under the same ID.
func (i *injector) crashUpstream() {
	id := i.pickUpstream()
	if id == "" {
		return
	}
	engine := i.soaker.site.CrashUpstream(id)
	_ = i.soaker.proxyUpstream(id, engine)
	i.soaker.links[id].proxy.CloseOpenConnections()
	i.soaker.history.addLinkFault(id, time.Now(), time.Now().Add(closeTime))
	engine.SetBehaviour(func(platformtest.Execution) platformtest.Behaviour { return platformtest.Serve })
}

// drainUpstream makes a plain upstream announce that it drains. It restarts under
// the same ID afterwards.
func (i *injector) drainUpstream() {
	id := i.pickUpstream()
	engine := i.soaker.site.Upstreams()[id]
	if engine == nil || engine.IsModelEngine() || i.busy["leaving"] {
		return
	}
	i.busy[id], i.busy["leaving"] = true, true
	i.soaker.site.DrainUpstream(id)
	i.soaker.history.addDrain(id+"/"+engine.Address(), time.Now())
	i.scheduled = append(i.scheduled, scheduledAction{time.Now().Add(drainServeTime), func() {
		_ = i.soaker.proxyUpstream(id, i.soaker.site.CrashUpstream(id))
		i.busy[id], i.busy["leaving"] = false, false
	}})
}

// takeZoneOut takes one zone out of service temporarily. The outage lasts
// longer than zoneTimeLimit.
func (i *injector) takeZoneOut() {
	if i.busy["zone"] {
		return
	}
	i.busy["zone"] = true
	zone := []string{"za", "zb"}[i.random.IntN(2)]
	i.soaker.site.EvacuateZone(zone)
	from := time.Now()
	i.scheduled = append(i.scheduled, scheduledAction{from.Add(maxFaultDuration + 2*time.Second), func() {
		i.soaker.history.addZoneOutage(zone, interval{from, time.Now()})
		i.soaker.site.RestoreZone(zone)
		i.busy["zone"] = false
	}})
}

// breakControl makes the engines of a zone answer reports and orders without end.
func (i *injector) breakControl() {
	zone := []string{"za", "zb"}[i.random.IntN(2)]
	for _, engine := range i.soaker.site.Upstreams() {
		if engine.IsModelEngine() && engine.Zone() == zone {
			engine.SetControlEndless(true)
			i.scheduleEnd(func() { engine.SetControlEndless(false) })
		}
	}
}

// lastingBehaviours are the behaviours of an upstream that answers every request badly. Refusals
// are not among them, since they cost callers nothing.
var lastingBehaviours = slices.Concat(endlessBehaviours, []platformtest.Behaviour{
	platformtest.Crash, platformtest.ResetMidStream, platformtest.WrongRequestID, platformtest.ResetMidBody,
	platformtest.CloseBeforeFirstEvent, platformtest.Hang,
})

// breakUpstream makes an upstream answer every request badly, in the same way, for seconds.
func (i *injector) breakUpstream() {
	id := i.pickUpstream()
	engine := i.soaker.site.Upstreams()[id]
	if engine == nil || i.busy["broken"] {
		return
	}
	i.busy["broken"] = true
	behaviour := lastingBehaviours[i.random.IntN(len(lastingBehaviours))]
	engine.SetBehaviour(func(platformtest.Execution) platformtest.Behaviour { return behaviour })
	from := time.Now()
	duration := minBrokenTime + time.Duration(i.random.Float64()*float64(maxBrokenTime-minBrokenTime))
	i.scheduled = append(i.scheduled, scheduledAction{from.Add(duration), func() {
		engine.SetBehaviour(i.behave)
		i.soaker.history.addBroken(brokenUpstream{incarnation: id + "/" + engine.Address(), behaviour: behaviour, interval: interval{from, time.Now()}})
		i.busy["broken"] = false
	}})
}

// limitUpstream makes an upstream name a rate limit in its responses.
func (i *injector) limitUpstream() {
	id := i.pickUpstream()
	engine := i.soaker.site.Upstreams()[id]
	if engine == nil || i.busy["limit "+id] {
		return
	}
	i.busy["limit "+id] = true
	perSecond := i.random.Float64() * maxRateLimit
	engine.SetRateLimit(perSecond)
	from := time.Now()
	i.scheduled = append(i.scheduled, scheduledAction{from.Add(rateLimitTime), func() {
		engine.RemoveRateLimit()
		i.soaker.history.addRateLimit(rateLimit{incarnation: id + "/" + engine.Address(), perSecond: perSecond, interval: interval{from, time.Now()}})
		i.busy["limit "+id] = false
	}})
}
