// Command crocushollow is the operators' command line.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kong"

	"github.com/crocushollow/crocushollow/transport/console"
)

// globals are the flags of every command.
type globals struct {
	Address  string        `help:"Operator address of any instance." default:"127.0.0.1:7001" env:"CROCUSHOLLOW_ADDRESS" placeholder:"IP:PORT"`
	Token    string        `help:"Operator's token." env:"CROCUSHOLLOW_TOKEN"`
	Operator string        `help:"Operator's name on instances without credentials." default:"${operator}" env:"CROCUSHOLLOW_OPERATOR"`
	Output   string        `help:"Form of the output." enum:"table,csv,json" default:"table"`
	Timeout  time.Duration `help:"How long a command may take." default:"30s"`
}

func (g globals) client() console.Client {
	return console.Client{Address: g.Address, Token: g.Token, Operator: g.Operator}
}

func (g globals) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), g.Timeout)
}

type commands struct {
	globals

	Table  tableCommand  `cmd:"" help:"Look at and edit rows."`
	Key    keyCommand    `cmd:"" help:"Give and withdraw callers' keys."`
	Zone   zoneCommand   `cmd:"" help:"Take availability zones out of service and back."`
	Status statusCommand `cmd:"" help:"Show the fleet as one instance sees it."`
	Config configCommand `cmd:"" help:"Work with settings files of daemons."`
	Demo   demoCommand   `cmd:"" help:"Run a whole site on loopback."`
}

func main() {
	var cli commands
	parser := kong.Parse(&cli, kong.Name("crocushollow"),
		kong.Description("Operates a fleet of crocushollow instances by its tables."),
		kong.Vars{"operator": operatorName()}, kong.UsageOnError())
	interrupted, end := signal.NotifyContext(context.Background(), os.Interrupt)
	defer end()
	parser.BindTo(interrupted, (*context.Context)(nil))
	parser.FatalIfErrorf(parser.Run(cli.globals))
}

func operatorName() string {
	if name := os.Getenv("USER"); name != "" {
		return name
	}
	return "operator"
}

// printJSON writes a value as indented JSON.
func printJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// newAligned returns a writer that aligns cells separated by tabs.
func newAligned(w io.Writer) *tabwriter.Writer { return tabwriter.NewWriter(w, 0, 4, 2, ' ', 0) }

// waitEverywhere waits until an edit is in force on every instance.
func waitEverywhere(ctx context.Context, client console.Client, offset uint64) error {
	inForce, err := client.WaitApplied(ctx, offset)
	fmt.Fprintf(os.Stderr, "in force on %d of %d instances\n", inForce.Applied, inForce.Instances)
	if err != nil {
		return fmt.Errorf("%w: waiting for %v", err, inForce.Missing)
	}
	return nil
}
