//go:build review

// Package player plays the cases of the third review: stand-ins of the store, of engines and of
// clients around the project's own processes. Its test binary takes the number of a case and the
// path of its record.
package player

import (
	"errors"
	"fmt"
	"os"
	"testing"
)

// Exit codes of a case.
const (
	held    = 0
	broken  = 1
	cantRun = 2
)

// errBroken reports that a rule was broken.
var errBroken = errors.New("the rule was broken")

func TestMain(*testing.M) { os.Exit(play(os.Args[1:])) }

// play plays a case and returns the exit code.
func play(arguments []string) int {
	cases := map[string]func(*record) error{
		"11": playCase11, "12": playCase12, "13": playCase13, "14": playCase14, "15": playCase15,
	}
	const argumentCount = 2
	if len(arguments) != argumentCount || cases[arguments[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness-3 CASE RECORD")
		return cantRun
	}
	rec, err := newRecord(arguments[1])
	if err == nil {
		err = cases[arguments[0]](rec)
	}
	switch {
	case err == nil:
		fmt.Println("the rule held")
		return held
	case errors.Is(err, errBroken):
		fmt.Println(err)
		return broken
	}
	fmt.Fprintln(os.Stderr, err)
	return cantRun
}
