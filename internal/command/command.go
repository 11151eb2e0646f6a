// Package command implements the command line of ledgesill. Each other file registers
// one command or several related ones.
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
	// ExitOK: the command succeeded.
	ExitOK = 0
	// ExitFailed: the command failed, or its outcome is unknown.
	ExitFailed = 1
	// ExitUsage: a flag, environment variable or argument is invalid; nothing was
	// done.
	ExitUsage = 2
	// ExitRejected: the system rejected the request, and nothing was changed.
	ExitRejected = 3
	// ExitAttention: the status shows a problem that needs an operator.
	ExitAttention = 4
)

// Command is a subcommand of ledgesill.
type Command struct {
	Name      string
	Summary   string
	Arguments string
	Example   string
	// Setup registers the flags and returns the function that runs the command.
	Setup func(fs *flag.FlagSet) func(ctx context.Context, in Invocation) error
	// Completions returns the arguments to suggest in shell completion.
	Completions func() []string
}

// Invocation holds the arguments and streams of a run of a command.
type Invocation struct {
	Arguments []string
	In        io.Reader
	Out       io.Writer
	Err       io.Writer
}

var commands []Command

func register(c Command) { commands = append(commands, c) }

// ExitError is an error with the exit code for it. Without a cause, nothing is
// printed.
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

// Unwrap implements the interface of errors.Unwrap.
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
	c, ok := findCommand(args[0])
	if !ok {
		fmt.Fprintf(errOut, "ledgesill: unknown command %q; see ledgesill help\n", args[0])
		return ExitUsage
	}
	err := runCommand(ctx, c, args[1:], Invocation{In: in, Out: out, Err: errOut})
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
		return ExitRejected
	}
	return ExitFailed
}

func findCommand(name string) (Command, bool) {
	i := slices.IndexFunc(commands, func(c Command) bool { return c.Name == name })
	if i < 0 {
		return Command{}, false
	}
	return commands[i], true
}

func runCommand(ctx context.Context, c Command, args []string, in Invocation) error {
	fs := flag.NewFlagSet("ledgesill "+c.Name, flag.ContinueOnError)
	fs.SetOutput(in.Err)
	fs.Usage = func() { printHelp(in.Out, fs, c) }
	execute := c.Setup(fs)
	if isDaemon(c) {
		in.Arguments = args
		return execute(ctx, in)
	}
	help, err := config.Parse(fs, args)
	if help {
		return nil
	}
	if err != nil {
		return &ExitError{ExitUsage, err}
	}
	in.Arguments = fs.Args()
	return execute(ctx, in)
}

// isDaemon reports whether a command parses its flags itself, with package config.
func isDaemon(c Command) bool {
	return c.Name == "control" || c.Name == "entry" || c.Name == "gateway"
}

func printHelp(w io.Writer, fs *flag.FlagSet, c Command) {
	fmt.Fprintf(w, "%s\n\nusage: ledgesill %s [flags] %s\n", c.Summary, c.Name, c.Arguments)
	if c.Example != "" {
		fmt.Fprintf(w, "\nexample:\n  %s\n", strings.ReplaceAll(c.Example, "\n", "\n  "))
	}
	fmt.Fprintf(w, "\nflags (each also as an environment variable, -name as %s):\n", config.EnvName("name"))
	fs.SetOutput(w)
	fs.PrintDefaults()
}

func printCommands(w io.Writer) {
	fmt.Fprintln(w, "ledgesill steers traffic between regions within the capacity of their targets.")
	fmt.Fprintln(w, "\nusage: ledgesill command [flags] [arguments]")
	fmt.Fprintln(w, "\ncommands (see ledgesill command -help for details):")
	sorted := slices.Clone(commands)
	slices.SortFunc(sorted, func(a, b Command) int { return strings.Compare(a.Name, b.Name) })
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, c := range sorted {
		fmt.Fprintf(t, "  %s\t%s\n", c.Name, c.Summary)
	}
	_ = t.Flush() // nothing to do if the output is closed
	fmt.Fprintln(w, "\nexit codes: 0 success, 1 failed or outcome unknown, 2 usage error, 3 rejected, 4 needs attention")
}

// clientFlags are the flags of the commands that send requests to the control
// replicas.
type clientFlags struct {
	Servers   string
	Token     string
	JSON      bool
	Cert      string
	Key       string
	Authority string
}

func (c *clientFlags) register(fs *flag.FlagSet) {
	fs.StringVar(&c.Servers, "servers", "127.0.0.1:7200,127.0.0.1:7201,127.0.0.1:7202", "comma-separated operator addresses of the control replicas")
	fs.StringVar(&c.Token, "token", "", "token of the operators")
	fs.BoolVar(&c.JSON, "json", false, "print JSON")
	fs.StringVar(&c.Cert, "certificate", "", "file of the operator's certificate")
	fs.StringVar(&c.Key, "certificate-key", "", "file of the certificate's key")
	fs.StringVar(&c.Authority, "authority", "", "file of the certificate authority that signs all certificates")
}

func (c *clientFlags) client() (*operator.Client, error) {
	addresses := config.SplitList(c.Servers)
	if len(addresses) == 0 {
		return nil, &config.ValueError{Flag: "servers", Value: c.Servers, Allowed: "at least one IP address and port"}
	}
	for _, a := range addresses {
		if err := config.CheckAddress("servers", a); err != nil {
			return nil, err
		}
	}
	common := config.Common{Certificate: c.Cert, CertificateKey: c.Key, Authority: c.Authority}
	tlsConfig, err := common.TLS()
	if err != nil {
		return nil, &ExitError{ExitUsage, err}
	}
	transport := &http.Transport{}
	if tlsConfig != nil {
		if transport.TLSClientConfig, err = tlsConfig(); err != nil {
			return nil, err
		}
	}
	return operator.NewClient(addresses, c.Token, transport), nil
}

func printJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		return fmt.Errorf("encoding the output as JSON: %w", err)
	}
	return nil
}

// printTable aligns the tab-separated columns that fill writes.
func printTable(w io.Writer, fill func(t *tabwriter.Writer)) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fill(t)
	return t.Flush()
}
