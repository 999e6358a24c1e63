// Package propertytester runs stateful property tests with a fixed seed. It can also
// show that a property fails on faulty code.
package propertytester

import (
	"flag"
	"fmt"
	"runtime"
	"sync"

	"pgregory.net/rapid"
)

// defaultSeed makes runs reproducible. The flag rapid.seed overrides it.
const defaultSeed = "1"

// defaultSteps is the average number of actions in a run. The flag rapid.steps
// overrides it.
const defaultSteps = "80"

var setDefaults = sync.OnceFunc(func() {
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", defaultSeed)
	}
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.shrinktime", "1s")
	if f := flag.Lookup("rapid.steps"); f != nil && f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.steps", defaultSteps)
	}
})

// Check fails the test if the property does not hold.
func Check(t rapid.TB, property func(*rapid.T)) {
	t.Helper()
	setDefaults()
	rapid.Check(t, property)
}

// FindFailure returns the message of the first failure of a property, or an empty
// string if no failure is found. Tests use it to show that the property detects a
// fault.
func FindFailure(property func(*rapid.T)) string {
	setDefaults()
	recorder := &failureRecorder{}
	done := make(chan struct{})
	// A failed check ends its goroutine with runtime.Goexit.
	go func() {
		defer close(done)
		rapid.Check(recorder, property)
	}()
	<-done
	return recorder.text
}

// failureRecorder implements rapid.TB and records the first failure.
type failureRecorder struct {
	failed bool
	text   string
}

func (f *failureRecorder) record(text string) {
	f.failed = true
	if f.text == "" {
		f.text = text
	}
}

// Helper implements rapid.TB.
func (f *failureRecorder) Helper() {}

// Name implements rapid.TB.
func (f *failureRecorder) Name() string { return "refute" }

// Logf implements rapid.TB.
func (f *failureRecorder) Logf(string, ...any) {}

// Log implements rapid.TB.
func (f *failureRecorder) Log(...any) {}

// Skipf implements rapid.TB.
func (f *failureRecorder) Skipf(string, ...any) { runtime.Goexit() }

// Skip implements rapid.TB.
func (f *failureRecorder) Skip(...any) { runtime.Goexit() }

// SkipNow implements rapid.TB.
func (f *failureRecorder) SkipNow() { runtime.Goexit() }

// Errorf implements rapid.TB.
func (f *failureRecorder) Errorf(format string, args ...any) { f.record(fmt.Sprintf(format, args...)) }

// Error implements rapid.TB.
func (f *failureRecorder) Error(args ...any) { f.record(fmt.Sprint(args...)) }

// Fatalf implements rapid.TB.
func (f *failureRecorder) Fatalf(format string, args ...any) {
	f.record(fmt.Sprintf(format, args...))
	runtime.Goexit()
}

// Fatal implements rapid.TB.
func (f *failureRecorder) Fatal(args ...any) {
	f.record(fmt.Sprint(args...))
	runtime.Goexit()
}

// FailNow implements rapid.TB.
func (f *failureRecorder) FailNow() {
	f.record("failed")
	runtime.Goexit()
}

// Fail implements rapid.TB.
func (f *failureRecorder) Fail() { f.record("failed") }

// Failed implements rapid.TB.
func (f *failureRecorder) Failed() bool { return f.failed }
