package main

import (
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	// The flags of ginkgo are passed to the tests of all packages.
	_ "github.com/onsi/ginkgo/v2"
)

// The commands in README.md must work as they are written there.
func TestListPrintsTheScenarios(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "crocushollow-bench")
	if output, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, output)
	}
	output, err := exec.Command(binary, "list").CombinedOutput()
	if err != nil || !strings.Contains(string(output), "overload") {
		t.Errorf("%v: %s", err, output)
	}
}
