package integration_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/daemon"
	"github.com/crocushollow/crocushollow/standin/logserver"
	"github.com/crocushollow/crocushollow/standin/stager"
	"github.com/crocushollow/crocushollow/transport/console"
)

// startSite starts a site with instances in the test process. It has no upstreams
// unless change adds some to the configuration.
func startSite(size int, change func(*stager.Config)) *stager.Site {
	GinkgoHelper()
	config := stager.DefaultConfig()
	config.Engines, config.Services = 0, 0
	change(&config)
	site, err := stager.Start(context.Background(), config)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(site.Close)
	Expect(site.StartInstances(size)).To(Succeed())
	Expect(site.AwaitReady(contextWithTimeout(20 * time.Second))).To(Succeed())
	return site
}

// addWorkspaces adds the workspaces w<from> to w<to-1>, one edit each.
func addWorkspaces(site *stager.Site, from, to int) {
	GinkgoHelper()
	client := siteConsoleClient(site.Instances()[0])
	for i := from; i < to; i++ {
		row := crocushollow.Workspace{ID: fmt.Sprintf("w%d", i), TokenRate: 1, TokenBurst: 1, Weight: 1}
		Expect(stager.ApplyChanges(contextWithTimeout(10*time.Second), client, console.NewInsert(row))).To(Succeed())
	}
}

func siteConsoleClient(instance *stager.Instance) console.Client {
	return console.Client{Address: instance.Console, Operator: "test"}
}

// workspaceRows returns the workspaces in an instance's table, or nil if it can't
// be read.
func workspaceRows(instance *stager.Instance) []console.Row {
	table, err := siteConsoleClient(instance).Table(contextWithTimeout(5*time.Second), crocushollow.WorkspaceTable)
	if err != nil {
		return nil
	}
	return table.Rows
}

var _ = Describe("the configuration", func() {
	// Guards against an instance that starts with an incomplete table, because the
	// log no longer has the first edits. Snapshots must hold them.
	It("reaches an instance that joins after the retention period of the log", func() {
		site := startSite(3, func(config *stager.Config) {
			config.Retention = 4 * time.Second
			config.Settings.Timing.SnapshotInterval = daemon.Duration(time.Second)
		})
		addWorkspaces(site, 0, 40)
		time.Sleep(5 * time.Second)
		addWorkspaces(site, 40, 41)
		joined, err := site.StartInstance("late", "akl")
		Expect(err).NotTo(HaveOccurred())
		Expect(site.AwaitReady(contextWithTimeout(15 * time.Second))).To(Succeed())
		Expect(workspaceRows(joined)).To(Equal(workspaceRows(site.Instances()[0])))
		Expect(workspaceRows(joined)).To(HaveLen(41))
	})

	// Guards against lost edits when the log is restored from an older copy. New
	// instances must get all edits too.
	It("is not rolled back when the log is truncated during an outage", func() {
		site := startSite(3, func(*stager.Config) {})
		addWorkspaces(site, 0, 5)
		before := workspaceRows(site.Instances()[0])
		site.Log.SetFaults(logserver.Faults{Outage: true})
		time.Sleep(300 * time.Millisecond)
		site.Log.TruncateTail(3)
		site.Log.SetFaults(logserver.Faults{})
		time.Sleep(2 * time.Second)
		for _, instance := range site.Instances() {
			Expect(workspaceRows(instance)).To(Equal(before), instance.ID)
		}
		addWorkspaces(site, 5, 6)
		joined, err := site.StartInstance("late", "akl")
		Expect(err).NotTo(HaveOccurred())
		Expect(site.AwaitReady(contextWithTimeout(15 * time.Second))).To(Succeed())
		Expect(workspaceRows(joined)).To(Equal(workspaceRows(site.Instances()[0])))
		Expect(workspaceRows(joined)).To(HaveLen(6))
	})

	// Guards against lost updates. Operators edit the same revision of a row at
	// different instances.
	It("accepts one of several concurrent edits and reports its author to the other operators", func() {
		site := startSite(3, func(*stager.Config) {})
		addWorkspaces(site, 0, 1)
		base := workspaceRows(site.Instances()[0])[0].Revision
		type editOutcome struct {
			result console.ChangeResult
			err    error
		}
		outcomes := make(chan editOutcome, len(site.Instances()))
		for i, instance := range site.Instances() {
			go func() {
				client := console.Client{Address: instance.Console, Operator: fmt.Sprint("operator ", i)}
				results, err := client.Edit(context.Background(), []console.Change{{
					Table: crocushollow.WorkspaceTable, ID: "w0", BaseRevision: base,
					Cells: []crocushollow.Cell{{Column: "token_rate", Text: fmt.Sprint(10 + i)}},
				}})
				if err != nil {
					outcomes <- editOutcome{err: err}
					return
				}
				outcomes <- editOutcome{result: results[0]}
			}()
		}
		accepted := 0
		for range site.Instances() {
			outcome := <-outcomes
			Expect(outcome.err).NotTo(HaveOccurred())
			if outcome.result.Error == "" {
				accepted++
				continue
			}
			Expect(outcome.result.Current).NotTo(BeNil())
			Expect(outcome.result.Current.Author).To(HavePrefix("operator"))
		}
		Expect(accepted).To(Equal(1))
	})
})
