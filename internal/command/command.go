// Package command is the command line: one file per command, each a small
// struct with the command's name, options and completion.
package command

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"

	"ledgesill.dev/ledgesill/internal/config"
	"ledgesill.dev/ledgesill/internal/operator"
)

// Exit codes.
const (
	// ExitOK: done.
	ExitOK = 0
	// ExitFailed: it could not be done, or its outcome is not known.
	ExitFailed = 1
	// ExitUsage: a flag, variable or argument is wrong; nothing was done.
	ExitUsage = 2
	// ExitRefused: the system refused, and nothing was changed.
	ExitRefused = 3
	// ExitAttention: status found something that a person should look at.
	ExitAttention = 4
)

// Command is one subcommand.
type Command struct {
	Name      string
	Summary   string
	Arguments string
	Example   string
	// Options registers the flags and returns what runs the command.
	Options func(fs *flag.FlagSet) func(ctx context.Context, in Invocation) error
	// Complete returns words that may follow.
	Complete func() []string
}

// Invocation is one call of a command.
type Invocation struct {
	Arguments []string
	In        io.Reader
	Out       io.Writer
	Err       io.Writer
}

var commands []Command

func register(c Command) { commands = append(commands, c) }

// ExitError carries an exit code.
type ExitError struct {
	Code int
	Err  error
}

// Error implements error.
func (e *ExitError) Error() string {
	if e.Err == nil {
		return ""
	}
	return e.Err.Error()
}

// Unwrap returns the cause.
func (e *ExitError) Unwrap() error { return e.Err }

func usageError(format string, args ...any) error {
	return &ExitError{ExitUsage, fmt.Errorf(format, args...)}
}

// Main runs the command line and returns the exit code.
func Main(ctx context.Context, args []string, in io.Reader, out, errOut io.Writer) int {
	if len(args) == 0 {
		printCommands(errOut)
		return ExitUsage
	}
	switch args[0] {
	case "help", "-h", "-help", "--help":
		printCommands(out)
		return ExitOK
	}
	c, ok := find(args[0])
	if !ok {
		fmt.Fprintf(errOut, "ledgesill: there is no command %q; see ledgesill help\n", args[0])
		return ExitUsage
	}
	err := run(ctx, c, args[1:], Invocation{In: in, Out: out, Err: errOut})
	return exitCode(err, errOut)
}

func exitCode(err error, errOut io.Writer) int {
	if err == nil {
		return ExitOK
	}
	if text := err.Error(); text != "" {
		fmt.Fprintln(errOut, "ledgesill:", text)
	}
	var exit *ExitError
	if errors.As(err, &exit) {
		return exit.Code
	}
	var value *config.ValueError
	if errors.As(err, &value) {
		return ExitUsage
	}
	var failure *operator.FailureError
	if errors.As(err, &failure) {
		return ExitRefused
	}
	return ExitFailed
}

func find(name string) (Command, bool) {
	i := slices.IndexFunc(commands, func(c Command) bool { return c.Name == name })
	if i < 0 {
		return Command{}, false
	}
	return commands[i], true
}

func run(ctx context.Context, c Command, args []string, in Invocation) error {
	fs := flag.NewFlagSet("ledgesill "+c.Name, flag.ContinueOnError)
	fs.SetOutput(in.Err)
	fs.Usage = func() { printHelp(in.Out, fs, c) }
	body := c.Options(fs)
	if isDaemon(c) {
		in.Arguments = args
		return body(ctx, in)
	}
	help, err := config.Parse(fs, args)
	if help {
		return nil
	}
	if err != nil {
		return &ExitError{ExitUsage, err}
	}
	in.Arguments = fs.Args()
	return body(ctx, in)
}

// isDaemon tells the commands that read their settings by themselves.
func isDaemon(c Command) bool {
	return c.Name == "control" || c.Name == "entry" || c.Name == "gateway"
}

func printHelp(w io.Writer, fs *flag.FlagSet, c Command) {
	fmt.Fprintf(w, "%s\n\nusage: ledgesill %s [flags] %s\n", c.Summary, c.Name, c.Arguments)
	if c.Example != "" {
		fmt.Fprintf(w, "\nexample:\n  %s\n", strings.ReplaceAll(c.Example, "\n", "\n  "))
	}
	fmt.Fprintf(w, "\nflags (each also as a variable, -name as %s):\n", config.EnvName("name"))
	fs.SetOutput(w)
	fs.PrintDefaults()
}

func printCommands(w io.Writer) {
	fmt.Fprintln(w, "ledgesill steers traffic between regions within the capacity of their targets.")
	fmt.Fprintln(w, "\nusage: ledgesill command [flags] [arguments]")
	fmt.Fprintln(w, "\ncommands (ledgesill command -help tells more):")
	sorted := slices.Clone(commands)
	slices.SortFunc(sorted, func(a, b Command) int { return strings.Compare(a.Name, b.Name) })
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, c := range sorted {
		fmt.Fprintf(t, "  %s\t%s\n", c.Name, c.Summary)
	}
	_ = t.Flush() // the terminal is gone
	fmt.Fprintln(w, "\nexit codes: 0 done, 1 failed or not known, 2 wrong use, 3 refused, 4 needs attention")
}

// connection are the flags of commands that ask the control replicas.
type connection struct {
	Servers   string
	Token     string
	JSON      bool
	Cert      string
	Key       string
	Authority string
}

func (c *connection) register(fs *flag.FlagSet) {
	fs.StringVar(&c.Servers, "servers", "127.0.0.1:7200,127.0.0.1:7201,127.0.0.1:7202", "operator addresses of the control replicas, separated by commas")
	fs.StringVar(&c.Token, "token", "", "operators' token")
	fs.BoolVar(&c.JSON, "json", false, "print JSON")
	fs.StringVar(&c.Cert, "certificate", "", "file of the operator's certificate")
	fs.StringVar(&c.Key, "certificate-key", "", "file of the certificate's key")
	fs.StringVar(&c.Authority, "authority", "", "file of the authority that signs all certificates")
}

func (c *connection) client() (*operator.Client, error) {
	addresses := config.SplitList(c.Servers)
	if len(addresses) == 0 {
		return nil, &config.ValueError{Flag: "servers", Value: c.Servers, Allowed: "at least one IP number and port"}
	}
	for _, a := range addresses {
		if err := config.CheckAddress("servers", a); err != nil {
			return nil, err
		}
	}
	common := config.Common{Certificate: c.Cert, CertificateKey: c.Key, Authority: c.Authority}
	secure, err := common.TLS()
	if err != nil {
		return nil, &ExitError{ExitUsage, err}
	}
	transport := &http.Transport{}
	if secure != nil {
		if transport.TLSClientConfig, err = secure(); err != nil {
			return nil, err
		}
	}
	return operator.NewClient(addresses, c.Token, transport), nil
}

func printJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		return fmt.Errorf("printing: %w", err)
	}
	return nil
}

func table(w io.Writer, fill func(t *tabwriter.Writer)) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fill(t)
	return t.Flush()
}
