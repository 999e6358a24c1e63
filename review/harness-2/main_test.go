//go:build review

package harness2

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRunTime is the time after which a case is given up.
const maxRunTime = 115 * time.Second

// record writes what was sent, answered and run. It is safe for concurrent use.
type record struct {
	mu      sync.Mutex
	file    *os.File
	startAt time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, startAt: time.Now()}, nil
}

func (r *record) printf(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  ", time.Since(r.startAt).Seconds())
	fmt.Fprintf(r.file, format+"\n", values...)
}

// verdict is the result of a case.
type verdict struct {
	isBroken bool
	text     string
}

// caseFunc runs a case on a site. Without trouble it does the same except for the disruption.
type caseFunc func(s *site, trouble bool) (verdict, error)

// cases holds the cases by their names.
var cases = map[string]caseFunc{"models": caseModels, "poison": casePoison, "restart": caseRestart, "path": casePath, "gone": caseGone, "blank": caseBlank, "tokens": caseTokens}

// TestMain runs one case. build-2.sh builds the test binary, which the scripts start.
func TestMain(_ *testing.M) {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness-2 CASE FOLDER")
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	log, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	giveUp := func(reason string) {
		log.printf("given up: %s", reason)
		killAll()
		os.Exit(exitNotRun)
	}
	time.AfterFunc(maxRunTime, func() { giveUp("the case takes too long") })
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() { giveUp((<-interrupted).String()) }()
	log.printf("case %s, disruption %t", os.Args[1], trouble)
	s, err := newSite(log)
	if err != nil {
		log.printf("the case could not run: %v", err)
		return exitNotRun
	}
	defer s.close()
	result, err := cases[os.Args[1]](s, trouble)
	if err != nil {
		log.printf("the case could not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	}
	log.printf("result: %s", result.text)
	fmt.Println(result.text)
	if result.isBroken {
		return exitBroken
	}
	return exitHeld
}
