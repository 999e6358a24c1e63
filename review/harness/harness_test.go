//go:build review

package harness

import (
	"errors"
	"fmt"
	"os"
	"testing"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// testCase starts a site, applies the disruption if trouble is set, and returns the
// violations of the rule.
type testCase func(s *site, trouble bool) ([]string, error)

var cases = map[string]struct {
	options siteOptions
	run     testCase
}{
	"late-copy":     {lateCopyOptions, runLateCopy},
	"versions":      {versionsOptions, runVersions},
	"late-accept":   {lateAcceptOptions, runLateAccept},
	"repeated-term": {repeatedTermOptions, runRepeatedTerm},
	"empty-resume":  {emptyResumeOptions, runEmptyResume},
}

// errUsage reports wrong arguments.
var errUsage = errors.New("usage: harness CASE RECORD-FILE")

// TestMain runs the case that the arguments name. There are no other tests.
func TestMain(*testing.M) { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, errUsage)
		return exitNotRun
	}
	c, found := cases[os.Args[1]]
	if !found {
		fmt.Fprintln(os.Stderr, errUsage)
		return exitNotRun
	}
	recorded, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = recorded.Close() }()
	s, err := startSite(c.options, recorded)
	if err != nil {
		recorded.add("site not started: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer s.close()
	s.closeOnSignal()
	trouble := os.Getenv("TROUBLE") != "0"
	recorded.add("case %s, trouble %v", os.Args[1], trouble)
	violations, err := c.run(s, trouble)
	if err != nil {
		recorded.add("case not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	for _, violation := range violations {
		recorded.add("VIOLATION %s", violation)
		fmt.Println(violation)
	}
	recorded.add("violations: %d", len(violations))
	fmt.Printf("%s: %d violations\n", os.Args[1], len(violations))
	if len(violations) > 0 {
		return exitBroken
	}
	return exitHeld
}

// maxRun ends a case that hangs, below the 120 s that a script may run.
const maxRun = 110 * time.Second
