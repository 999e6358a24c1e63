//go:build review

package player

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Sizes and times of case 11.
const (
	// crowdSize is the number of clients that do not keep to the limits, and crowdHeadBytes the size
	// of their heads, which do not end. The limit is 16,384 bytes (maxHeaderBytes).
	crowdSize      = 1500
	crowdHeadBytes = 30000
	crowdStay      = 6 * time.Second
	// The crowd comes to attackedCount machines at once, crowdWaves times.
	attackedCount = 2
	crowdWaves    = 3
	crowdAfter    = 3 * time.Second
	waveTime      = 10 * time.Second
	ordinaryPerS  = 10
	// A process that exceeds the memory of its machine is killed, and another one starts.
	memoryCheckInterval = 10 * time.Millisecond
	restartDelay        = 500 * time.Millisecond
	// The rule is broken if processes end this often on a tenth of the machines, two at least.
	toleratedEnds  = 2
	countedMachine = 2
)

// crowdRequest returns a head of many short lines that does not end.
func crowdRequest(number int) string {
	var text strings.Builder
	fmt.Fprintf(&text, "POST /bopu901/2f HTTP/1.1\r\nHost: %s\r\nX-Request-Id: c0de41d0%08x\r\nX-Deadline-Ms: 12000\r\n", host, number)
	for line := 0; text.Len() < crowdHeadBytes; line++ {
		fmt.Fprintf(&text, "x%s:\r\n", strconv.FormatInt(int64(line), 36))
	}
	return text.String()
}

// joinCrowd sends the request of one client and stays.
func joinCrowd(site *site, to *instance, number int, counts *crowdCounts) {
	conn, err := net.DialTimeout("tcp", to.callers, 5*time.Second)
	if err != nil {
		counts.add("not connected")
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(crowdStay))
	if _, err := conn.Write([]byte(crowdRequest(number))); err != nil {
		counts.add("closed while sending")
		return
	}
	line, err := bufio.NewReader(conn).ReadString('\n')
	switch {
	case os.IsTimeout(err):
		counts.add("open until it left")
	case err != nil:
		counts.add("closed")
	default:
		counts.add("answered " + strings.TrimSpace(line))
	}
	site.record.printf("client %d of the crowd ends: %q %v", number, line, err)
}

// crowdCounts counts how the clients of the crowd ended.
type crowdCounts struct {
	mu     sync.Mutex
	counts map[string]int
}

func (c *crowdCounts) add(end string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = make(map[string]int)
	}
	c.counts[end]++
}

// residentMB returns the memory that a process has resident, or 0 if it has ended.
func residentMB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if rest, found := strings.CutPrefix(line, "VmRSS:"); found {
			kilobytes, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(rest, "kB")))
			return kilobytes >> 10
		}
	}
	return 0
}

// memoryGuard is the platform's watch over the memory of a process.
type memoryGuard struct {
	instance *instance
	peakMB   int
	ends     int
	done     chan struct{}
}

// run kills the process when it exceeds the memory of its machine, and starts another one.
func (g *memoryGuard) run(ctx context.Context, site *site) {
	defer close(g.done)
	for ctx.Err() == nil {
		time.Sleep(memoryCheckInterval)
		resident := residentMB(g.instance.command.Process.Pid)
		g.peakMB = max(g.peakMB, resident)
		if resident <= memoryMB {
			continue
		}
		site.record.printf("the platform kills %s, which has %d MB", g.instance.id, resident)
		_ = g.instance.command.Process.Kill()
		<-g.instance.ended
		g.ends++
		time.Sleep(restartDelay)
		if err := site.start(g.instance, false); err != nil {
			site.record.printf("%s does not start: %v", g.instance.id, err)
			return
		}
	}
}

// playCase11 lets many clients send heads without end to two instances. They have no key.
func playCase11(rec *record) error {
	site, err := newSite(rec)
	if err != nil {
		return err
	}
	defer site.close()
	site.store.Put("keyed.op", "config", streamTable())
	for n := range engineCount {
		e := newEngine(fmt.Sprintf("i-40f425ee%02d", n), service, zones[n%len(zones)], site.store, rec)
		e.interval = 30 * time.Millisecond
		if err := e.start("v1"); err != nil {
			return err
		}
		defer e.crash()
	}
	if err := site.startInstances(machineCount); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), crowdAfter+crowdWaves*waveTime)
	defer cancel()
	var guards []*memoryGuard
	for _, i := range site.instances {
		g := &memoryGuard{instance: i, done: make(chan struct{})}
		guards = append(guards, g)
		go g.run(ctx, site)
	}
	var counts crowdCounts
	if isTroubled() {
		for wave := range crowdWaves {
			for n := range attackedCount {
				time.AfterFunc(crowdAfter+time.Duration(wave)*waveTime, func() { sendCrowd(site, site.instances[n], &counts) })
			}
		}
	}
	streams := sendStreamsAt(ctx, site, "", ordinaryPerS)
	for _, g := range guards {
		<-g.done
	}
	return judgeMemory(site, streams, guards, &counts)
}

// sendCrowd sends the clients of a wave to an instance, one after the other.
func sendCrowd(site *site, to *instance, counts *crowdCounts) {
	site.record.printf("%d clients come to %s", crowdSize, to.id)
	for number := range crowdSize {
		go joinCrowd(site, to, number, counts)
		time.Sleep(time.Millisecond)
	}
}

// judgeMemory counts the machines on which processes have ended too often.
func judgeMemory(site *site, streams []*stream, guards []*memoryGuard, counts *crowdCounts) error {
	whole, machines := 0, 0
	for _, s := range streams {
		if s.isWhole {
			whole++
		}
	}
	text := fmt.Sprintf("%d of %d ordinary requests served whole", whole, len(streams))
	for _, g := range guards {
		if g.ends > 0 {
			text += fmt.Sprintf("; %s exceeded %d MB %d times, with %d MB at most", g.instance.id, memoryMB, g.ends, g.peakMB)
		}
		if g.ends > toleratedEnds {
			machines++
		}
	}
	counts.mu.Lock()
	text += fmt.Sprintf("; crowd: %v", counts.counts)
	counts.mu.Unlock()
	site.record.printf("%s", text)
	fmt.Println(text)
	switch {
	case whole < len(streams)/2 && !isTroubled():
		return fmt.Errorf("too few requests were served: %s", text)
	case machines >= countedMachine:
		return errBroken
	}
	return nil
}
