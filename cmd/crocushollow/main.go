// Command crocushollow is the command-line tool for operators.
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

// globals holds the flags that all commands share.
type globals struct {
	Address  string        `help:"Operator address of any instance." default:"127.0.0.1:7001" env:"CROCUSHOLLOW_ADDRESS" placeholder:"IP:PORT"`
	Token    string        `help:"Operator's token." env:"CROCUSHOLLOW_TOKEN"`
	Operator string        `help:"Name of the operator on instances without configured operators." default:"${operator}" env:"CROCUSHOLLOW_OPERATOR"`
	Output   string        `help:"Output format." enum:"table,csv,json" default:"table"`
	Timeout  time.Duration `help:"Time limit of a command." default:"30s"`
}

func (g globals) client() console.Client {
	return console.Client{Address: g.Address, Token: g.Token, Operator: g.Operator}
}

func (g globals) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), g.Timeout)
}

type commands struct {
	globals

	Table  tableCommand  `cmd:"" help:"Read and edit tables."`
	Key    keyCommand    `cmd:"" help:"Add and withdraw API keys."`
	Zone   zoneCommand   `cmd:"" help:"Take availability zones out of service or return them to service."`
	Status statusCommand `cmd:"" help:"Show the fleet as one instance sees it."`
	Config configCommand `cmd:"" help:"Check settings files."`
	Demo   demoCommand   `cmd:"" help:"Run a complete site on the loopback interface."`
}

func main() {
	var cli commands
	parser := kong.Parse(&cli, kong.Name("crocushollow"),
		kong.Description("Operates a fleet of crocushollow instances through its tables."),
		kong.Vars{"operator": operatorName()}, kong.UsageOnError())
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	parser.BindTo(ctx, (*context.Context)(nil))
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

// newTabWriter returns a writer that aligns tab-separated cells.
func newTabWriter(w io.Writer) *tabwriter.Writer { return tabwriter.NewWriter(w, 0, 4, 2, ' ', 0) }

// waitApplied waits until all instances have applied the record at a log offset.
func waitApplied(ctx context.Context, client console.Client, offset uint64) error {
	status, err := client.WaitApplied(ctx, offset)
	fmt.Fprintf(os.Stderr, "applied on %d of %d instances\n", status.Applied, status.Instances)
	if err != nil {
		return fmt.Errorf("%w: missing %v", err, status.Missing)
	}
	return nil
}
