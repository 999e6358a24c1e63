package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/crocushollow/crocushollow"
	"github.com/crocushollow/crocushollow/daemon"
	"github.com/crocushollow/crocushollow/transport/console"
)

type keyCommand struct {
	Add      keyAdd      `cmd:"" help:"Add an API key to a workspace and print its secret once."`
	Withdraw keyWithdraw `cmd:"" help:"Withdraw an API key."`
}

type keyAdd struct {
	waitFlag

	ID        string `arg:"" help:"Name of the key."`
	Workspace string `arg:"" help:"Workspace that the key belongs to."`
}

// Run adds a key and prints its secret, of which only the digest is stored.
func (c keyAdd) Run(g globals) error {
	ctx, cancel := g.context()
	defer cancel()
	secret := crocushollow.NewAPIKeySecret()
	key := crocushollow.APIKey{ID: c.ID, Workspace: c.Workspace, Digest: crocushollow.DigestKey(secret)}
	err := c.publish(ctx, g.client(), []console.Change{console.NewInsert(key)})
	if err == nil {
		fmt.Println(secret)
	}
	return err
}

type keyWithdraw struct {
	waitFlag
	baseFlag

	ID string `arg:"" help:"Name of the key."`
}

// Run withdraws the key.
func (c keyWithdraw) Run(g globals) error {
	set := tableSet{
		waitFlag: c.waitFlag, baseFlag: c.baseFlag,
		Table: string(crocushollow.APIKeyTable), ID: c.ID, Cells: []string{"withdrawn=true"},
	}
	return set.Run(g)
}

type zoneCommand struct {
	Out zoneOut `cmd:"" help:"Take an availability zone out of service, so that it gets no new work."`
	In  zoneIn  `cmd:"" help:"Return an availability zone to service."`
}

type zoneOut struct {
	waitFlag
	baseFlag

	Name string `arg:"" help:"Name of the availability zone."`
}

// Run takes the zone out of service.
func (c zoneOut) Run(g globals) error {
	return setInService(g, c.waitFlag, c.baseFlag, c.Name, "false")
}

type zoneIn struct {
	waitFlag
	baseFlag

	Name string `arg:"" help:"Name of the availability zone."`
}

// Run returns the zone to service.
func (c zoneIn) Run(g globals) error {
	return setInService(g, c.waitFlag, c.baseFlag, c.Name, "true")
}

func setInService(g globals, wait waitFlag, base baseFlag, name, inService string) error {
	set := tableSet{
		waitFlag: wait, baseFlag: base,
		Table: string(crocushollow.AvailabilityZoneTable), ID: name, Cells: []string{"in_service=" + inService},
	}
	return set.Run(g)
}

type statusCommand struct{}

// Run prints the status of the fleet.
func (c statusCommand) Run(g globals) error {
	ctx, cancel := g.context()
	defer cancel()
	status, err := g.client().Status(ctx)
	if err != nil {
		return err
	}
	if g.Output == "json" {
		return printJSON(os.Stdout, status)
	}
	fmt.Printf("instance %s, version %s, log offset %d, up to date %d ms ago, valid lease %t\n\n",
		status.Instance, status.Version, status.Offset, status.LogAgeMS, status.LeaseValid)
	tabWriter := newTabWriter(os.Stdout)
	fmt.Fprintln(tabWriter, "instance\tavailability zone\tcallers\tavailable\tshards")
	for _, instance := range status.Instances {
		fmt.Fprintf(tabWriter, "%s\t%s\t%s\t%t\t%d\n", instance.ID, instance.AvailabilityZone,
			instance.CallerAddress, !instance.Unavailable, instance.Shards)
	}
	fmt.Fprintln(tabWriter, "\nupstream\tavailability zone\tnew work\tcold\tin flight\tweights")
	for _, upstream := range status.Upstreams {
		fmt.Fprintf(tabWriter, "%s\t%s\t%t\t%t\t%d\t%s\n", upstream.ID, upstream.AvailabilityZone,
			upstream.AcceptsNewWork, upstream.Cold, upstream.InFlight, strings.Join(upstream.Weights, ", "))
	}
	fmt.Fprintln(tabWriter, "\nlimit\trow\ttokens or permits held")
	for _, share := range status.Shares {
		fmt.Fprintf(tabWriter, "%s\t%s\t%d\n", share.Kind, share.ID, share.Units)
	}
	return tabWriter.Flush()
}

type configCommand struct {
	Check configCheck `cmd:"" help:"Check a settings file."`
}

type configCheck struct {
	File string `arg:"" help:"Settings file in TOML." type:"path"`
}

// Run checks the settings file.
func (c configCheck) Run() error {
	if _, err := daemon.LoadSettings(c.File); err != nil {
		return err
	}
	fmt.Println(c.File + ": ok")
	return nil
}
