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
	Add      keyAdd      `cmd:"" help:"Give a workspace a new key and show it once."`
	Withdraw keyWithdraw `cmd:"" help:"Withdraw a key."`
}

type keyAdd struct {
	waitFlag

	ID        string `arg:"" help:"Name of the key."`
	Workspace string `arg:"" help:"Workspace that the key belongs to."`
}

// Run adds a key and prints the secret, which is stored nowhere.
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

// Run withdraws a key.
func (c keyWithdraw) Run(g globals) error {
	set := tableSet{
		waitFlag: c.waitFlag, baseFlag: c.baseFlag,
		Table: string(crocushollow.APIKeyTable), ID: c.ID, Cells: []string{"withdrawn=true"},
	}
	return set.Run(g)
}

type zoneCommand struct {
	Out zoneOut `cmd:"" help:"Give an availability zone no new work."`
	In  zoneIn  `cmd:"" help:"Take an availability zone back into service."`
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

// Run takes the zone back into service.
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

// Run shows the fleet.
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
	fmt.Printf("instance %s, version %s, log offset %d, known to be current %d ms ago, assured %t\n\n",
		status.Instance, status.Version, status.Offset, status.LogAgeMS, status.LeaseValid)
	aligned := newAligned(os.Stdout)
	fmt.Fprintln(aligned, "instance\tavailability zone\tcallers\tavailable\tshards")
	for _, instance := range status.Instances {
		fmt.Fprintf(aligned, "%s\t%s\t%s\t%t\t%d\n", instance.ID, instance.AvailabilityZone,
			instance.CallerAddress, !instance.Unavailable, instance.Shards)
	}
	fmt.Fprintln(aligned, "\nupstream\tavailability zone\tnew work\tcold\tin flight\tweights")
	for _, upstream := range status.Upstreams {
		fmt.Fprintf(aligned, "%s\t%s\t%t\t%t\t%d\t%s\n", upstream.ID, upstream.AvailabilityZone,
			upstream.AcceptsNewWork, upstream.Cold, upstream.InFlight, strings.Join(upstream.Weights, ", "))
	}
	fmt.Fprintln(aligned, "\nlimit\trow\tunits held here")
	for _, share := range status.Shares {
		fmt.Fprintf(aligned, "%s\t%s\t%d\n", share.Kind, share.ID, share.Units)
	}
	return aligned.Flush()
}

type configCommand struct {
	Check configCheck `cmd:"" help:"Check a settings file."`
}

type configCheck struct {
	File string `arg:"" help:"Settings file in TOML." type:"path"`
}

// Run checks a settings file.
func (c configCheck) Run() error {
	if _, err := daemon.LoadSettings(c.File); err != nil {
		return err
	}
	fmt.Println(c.File + ": ok")
	return nil
}
