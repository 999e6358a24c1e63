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

// startSite runs instances in this process, without upstreams.
func startSite(size int, change func(*stager.Config)) *stager.Site {
	GinkgoHelper()
	config := stager.DefaultConfig()
	config.Engines, config.Services = 0, 0
	change(&config)
	site, err := stager.Start(context.Background(), config)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(site.Close)
	Expect(site.StartInstances(size)).To(Succeed())
	Expect(site.AwaitReady(ctxOf(20 * time.Second))).To(Succeed())
	return site
}

func editWorkspaces(site *stager.Site, from, to int) {
	GinkgoHelper()
	client := consoleAt(site.Instances()[0])
	for i := from; i < to; i++ {
		row := crocushollow.Workspace{ID: fmt.Sprintf("w%d", i), TokenRate: 1, TokenBurst: 1, Weight: 1}
		Expect(stager.Edit(ctxOf(10*time.Second), client, console.NewInsert(row))).To(Succeed())
	}
}

func consoleAt(instance *stager.Instance) console.Client {
	return console.Client{Address: instance.Console, Operator: "test"}
}

func workspacesAt(instance *stager.Instance) []console.Row {
	table, err := consoleAt(instance).Table(ctxOf(5*time.Second), crocushollow.WorkspaceTable)
	if err != nil {
		return nil
	}
	return table.Rows
}

var _ = Describe("the configuration", func() {
	It("reaches an instance that joins after the log's retention has passed", func() {
		site := startSite(3, func(config *stager.Config) {
			config.Retention = 4 * time.Second
			config.Settings.Timing.SnapshotInterval = daemon.Duration(time.Second)
		})
		editWorkspaces(site, 0, 40)
		time.Sleep(5 * time.Second)
		editWorkspaces(site, 40, 41)
		late, err := site.StartInstance("late", "akl")
		Expect(err).NotTo(HaveOccurred())
		Expect(site.AwaitReady(ctxOf(15 * time.Second))).To(Succeed())
		Expect(workspacesAt(late)).To(Equal(workspacesAt(site.Instances()[0])))
		Expect(workspacesAt(late)).To(HaveLen(41))
	})

	It("does not revert when the log comes back truncated", func() {
		site := startSite(3, func(*stager.Config) {})
		editWorkspaces(site, 0, 5)
		before := workspacesAt(site.Instances()[0])
		site.Log.SetFaults(logserver.Faults{Outage: true})
		time.Sleep(300 * time.Millisecond)
		site.Log.Truncate(3)
		site.Log.SetFaults(logserver.Faults{})
		time.Sleep(2 * time.Second)
		for _, instance := range site.Instances() {
			Expect(workspacesAt(instance)).To(Equal(before), instance.ID)
		}
		editWorkspaces(site, 5, 6)
		late, err := site.StartInstance("late", "akl")
		Expect(err).NotTo(HaveOccurred())
		Expect(site.AwaitReady(ctxOf(15 * time.Second))).To(Succeed())
		Expect(workspacesAt(late)).To(Equal(workspacesAt(site.Instances()[0])))
		Expect(workspacesAt(late)).To(HaveLen(6))
	})

	It("lets one of two racing operators win and tells the other who did", func() {
		site := startSite(3, func(*stager.Config) {})
		editWorkspaces(site, 0, 1)
		base := workspacesAt(site.Instances()[0])[0].Revision
		type end struct {
			result console.ChangeResult
			err    error
		}
		ends := make(chan end, len(site.Instances()))
		for i, instance := range site.Instances() {
			go func() {
				client := console.Client{Address: instance.Console, Operator: fmt.Sprint("operator ", i)}
				results, err := client.Edit(context.Background(), []console.Change{{
					Table: crocushollow.WorkspaceTable, ID: "w0", BaseRevision: base,
					Cells: []crocushollow.Cell{{Column: "token_rate", Text: fmt.Sprint(10 + i)}},
				}})
				if err != nil {
					ends <- end{err: err}
					return
				}
				ends <- end{result: results[0]}
			}()
		}
		won := 0
		for range site.Instances() {
			e := <-ends
			Expect(e.err).NotTo(HaveOccurred())
			if e.result.Error == "" {
				won++
				continue
			}
			Expect(e.result.Current).NotTo(BeNil())
			Expect(e.result.Current.Author).To(HavePrefix("operator"))
		}
		Expect(won).To(Equal(1))
	})
})
