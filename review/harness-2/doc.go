// Package harness2 runs the scripted cases of the second independent review. Each case starts
// instances as separate processes with stand-ins of the platform, of engines and of callers, and
// checks one rule by what these have seen. It has test files only, under the build tag review.
package harness2
