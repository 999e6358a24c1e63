//go:build review

package player

import (
	"context"
	"fmt"
	"os"
	"syscall"
	"time"
)

// Times and sizes of case 14.
const (
	machineCount = 8
	hostCount    = 6
	// powerlessTime is the time for which a machine has no power, and releaseAfter the time from
	// its begin to the start of an engine with the next version.
	powerlessTime = 3500 * time.Millisecond
	releaseAfter  = 500 * time.Millisecond
	warmUpTime    = 8 * time.Second
	restTime      = 8 * time.Second
	// minTakenUp is the number of streams from which on the rule holds.
	minTakenUp = 12
)

// playCase14 begins to replace the engines of a service by ones with the next version of their
// software. In the trouble, a machine has no power while the first of these starts.
func playCase14(rec *record) error {
	site, err := newSite(rec)
	if err != nil {
		return err
	}
	defer site.close()
	models := []string{"m0", "m1", "m2"}
	site.store.Put("keyed.op", "config", modelTable(models, 2, true))
	newHost := func(n int, version string) *modelHost {
		return &modelHost{
			name: fmt.Sprintf("40f425%s%02d", version, n), service: service, zone: zones[n%len(zones)], address: freeAddress(), store: site.store, record: rec,
			backAfter: time.Hour, version: version, events: 24, interval: 250 * time.Millisecond,
		}
	}
	var hosts []*modelHost
	for n := range hostCount {
		h := newHost(n, "v1")
		if err := h.start(models); err != nil {
			return err
		}
		defer h.close()
		hosts = append(hosts, h)
	}
	next := newHost(hostCount, "v2")
	defer next.close()
	if err := site.startInstances(machineCount); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), warmUpTime+powerlessTime+restTime)
	defer cancel()
	go func() {
		time.Sleep(warmUpTime)
		if isTroubled() {
			go site.loseMachinePower(site.instances[machineCount-1])
		}
		time.Sleep(releaseAfter)
		if os.Getenv("RELEASE") == "0" {
			return
		}
		if err := next.start(nil); err != nil {
			rec.printf("the new engine does not start: %v", err)
		}
		time.Sleep(time.Second)
		hosts[0].drain()
	}()
	return judgeTakenUp(rec, sendStreams(ctx, site, models[0]))
}

// loseMachinePower makes a machine silent. When it is back, its connections are reset and its process
// starts anew.
func (s *site) loseMachinePower(i *instance) {
	s.record.printf("instance %s has no power", i.id)
	_ = i.command.Process.Signal(syscall.SIGSTOP)
	time.Sleep(powerlessTime)
	_ = i.command.Process.Kill()
	<-i.ended
	s.record.printf("instance %s has power again", i.id)
	if err := s.start(i, false); err != nil {
		s.record.printf("instance %s does not start: %v", i.id, err)
	}
}

// judgeTakenUp compares how many of the streams go on that clients take up with how many of the new
// ones begin.
func judgeTakenUp(rec *record, streams []*stream) error {
	var takenUp, goesOn, begun int
	for _, s := range streams {
		if s.statuses[0] == 200 && len(s.events) > 0 {
			begun++
		}
		if s.brokeAt.IsZero() {
			continue
		}
		takenUp++
		if len(s.events) > s.eventsBefore {
			goesOn++
		}
	}
	text := fmt.Sprintf("%d of %d new streams began; %d of %d that were taken up went on", begun, len(streams), goesOn, takenUp)
	rec.printf("%s", text)
	fmt.Println(text)
	switch {
	case begun < len(streams)/2:
		return fmt.Errorf("too few streams began: %s", text)
	case takenUp >= minTakenUp && 2*goesOn*len(streams) < takenUp*begun:
		return errBroken
	}
	return nil
}
