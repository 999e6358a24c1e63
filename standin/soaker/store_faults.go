package soaker

import (
	"time"

	"github.com/crocushollow/crocushollow/platform/platformtest"
	"github.com/crocushollow/crocushollow/standin/faultproxy"
)

// cutStoreLink cuts the connection of one instance to the store.
func (i *injector) cutStoreLink() {
	p := i.soaker.fleet[i.random.IntN(len(i.soaker.fleet))]
	choices := []faultproxy.Fault{faultproxy.Blackhole, faultproxy.Refuse, faultproxy.DropResponses}
	from := time.Now()
	p.store.SetDefaultFault(choices[i.random.IntN(len(choices))])
	if i.random.IntN(2) == 0 {
		p.store.CloseOpenConnections()
	}
	at := i.scheduleEnd(func() {
		p.store.SetDefaultFault(faultproxy.Forward)
		p.store.CloseOpenConnections()
		i.soaker.history.addStoreLinkFault(p.name, from, time.Now())
	})
	i.soaker.history.addStoreLinkFault(p.name, from, at)
}

// degradeStore makes the store fail a random fraction of all calls.
func (i *injector) degradeStore() {
	choices := []platformtest.Fault{
		platformtest.Unavailable, platformtest.Throttled, platformtest.ConnectionReset, platformtest.NoResponse, platformtest.LostResponse,
	}
	i.mu.Lock()
	i.storeFault, i.storeFaultRate = choices[i.random.IntN(len(choices))], 0.2+0.8*i.random.Float64()
	i.mu.Unlock()
	from := time.Now()
	at := i.scheduleEnd(func() {
		i.mu.Lock()
		i.storeFaultRate = 0
		i.mu.Unlock()
		i.soaker.history.addStoreFault(from, time.Now())
	})
	i.soaker.history.addStoreFault(from, at)
}

// compactStore drops the store's history of the table and of the upstreams.
func (i *injector) compactStore() { i.soaker.site.CompactTopics() }

// moveLeadership gives planner leadership to another instance.
func (i *injector) moveLeadership() { i.soaker.site.MovePlannerLeadership() }

// restoreStore has the store return from a copy of some seconds before. What was written
// since then is lost until it is written again.
func (i *injector) restoreStore() {
	if i.busy["copy"] {
		return
	}
	i.busy["copy"] = true
	earlier := i.soaker.site.Store.Copy()
	i.scheduleEnd(func() {
		from := time.Now()
		i.soaker.site.Store.Restore(earlier)
		i.soaker.history.addStoreFault(from, from.Add(rewriteDelay))
		i.scheduled = append(i.scheduled, scheduledAction{from.Add(rewriteDelay), func() {
			i.soaker.site.RewriteOperatorRecords()
			i.soaker.history.addStoreFault(from, time.Now())
			i.busy["copy"] = false
		}})
	})
}

// editTable publishes a table in which the toggled route and the toggled key are
// each present or absent at random.
func (i *injector) editTable() {
	i.table.Version += 1 + i.random.IntN(3)
	i.table.ExtraIdempotentPaths, i.table.APIKeys = nil, []string{platformtest.APIKey}
	if i.random.IntN(2) == 0 {
		i.table.ExtraIdempotentPaths = []string{toggledPath}
	}
	if i.random.IntN(2) == 0 {
		i.table.APIKeys = append(i.table.APIKeys, toggledKey)
	}
	i.soaker.site.PutTable(i.table)
	i.soaker.history.addEdit(edit{at: time.Now(), paths: i.table.ExtraIdempotentPaths, keys: i.table.APIKeys})
}
