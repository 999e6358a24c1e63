//go:build review

// Command harness runs the scripted cases of the review against instances of
// crocushollowd that run as separate processes.
package main
