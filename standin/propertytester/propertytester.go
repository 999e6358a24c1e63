// Package propertytester runs stateful properties with a fixed seed, and checks that
// they find deliberate faults.
package propertytester

import (
	"flag"
	"fmt"
	"runtime"
	"sync"

	"pgregory.net/rapid"
)

// seed makes every run the same unless the command line names another one.
const seed = "1"

// steps is the average number of actions of a run.
const steps = "80"

var fixSeed = sync.OnceFunc(func() {
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", seed)
	}
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.shrinktime", "1s")
	if f := flag.Lookup("rapid.steps"); f != nil && f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.steps", steps)
	}
})

// Check fails the test if the property does not hold.
func Check(t rapid.TB, property func(*rapid.T)) {
	t.Helper()
	fixSeed()
	rapid.Check(t, property)
}

// FindFailure returns how the property fails, or an empty text if no failure is
// found. It shows that the property can fail.
func FindFailure(property func(*rapid.T)) string {
	fixSeed()
	found := &failure{}
	done := make(chan struct{})
	go func() {
		defer close(done)
		rapid.Check(found, property)
	}()
	<-done
	return found.text
}

// failure implements rapid.TB and remembers that the check has failed.
type failure struct {
	failed bool
	text   string
}

func (f *failure) note(text string) {
	f.failed = true
	if f.text == "" {
		f.text = text
	}
}

// Helper implements rapid.TB.
func (f *failure) Helper() {}

// Name implements rapid.TB.
func (f *failure) Name() string { return "refute" }

// Logf implements rapid.TB.
func (f *failure) Logf(string, ...any) {}

// Log implements rapid.TB.
func (f *failure) Log(...any) {}

// Skipf implements rapid.TB.
func (f *failure) Skipf(string, ...any) { runtime.Goexit() }

// Skip implements rapid.TB.
func (f *failure) Skip(...any) { runtime.Goexit() }

// SkipNow implements rapid.TB.
func (f *failure) SkipNow() { runtime.Goexit() }

// Errorf implements rapid.TB.
func (f *failure) Errorf(format string, args ...any) { f.note(fmt.Sprintf(format, args...)) }

// Error implements rapid.TB.
func (f *failure) Error(args ...any) { f.note(fmt.Sprint(args...)) }

// Fatalf implements rapid.TB.
func (f *failure) Fatalf(format string, args ...any) {
	f.note(fmt.Sprintf(format, args...))
	runtime.Goexit()
}

// Fatal implements rapid.TB.
func (f *failure) Fatal(args ...any) {
	f.note(fmt.Sprint(args...))
	runtime.Goexit()
}

// FailNow implements rapid.TB.
func (f *failure) FailNow() {
	f.note("failed")
	runtime.Goexit()
}

// Fail implements rapid.TB.
func (f *failure) Fail() { f.note("failed") }

// Failed implements rapid.TB.
func (f *failure) Failed() bool { return f.failed }
