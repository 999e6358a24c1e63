//go:build review

// Package harness runs the scripted cases of the review against instances of
// crocushollowd that run as separate processes. It has tests only: review/build.sh builds
// them into a program, and each case is one run of it.
package harness
