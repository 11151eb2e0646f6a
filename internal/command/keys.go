package command

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"text/tabwriter"

	"ledgesill.dev/ledgesill/pkg/settings"
)

func init() {
	register(Command{
		Name:    "keys",
		Summary: "list the keys of the settings tree with their units, ranges and defaults",
		Setup:   keysOptions,
	})
	register(Command{
		Name:      "complete",
		Summary:   "print words for shell completion",
		Arguments: "[command]",
		Example:   `complete -W "$(ledgesill complete)" ledgesill`,
		Setup:     func(*flag.FlagSet) func(context.Context, Invocation) error { return runComplete },
	})
}

func keysOptions(fs *flag.FlagSet) func(context.Context, Invocation) error {
	asJSON := fs.Bool("json", false, "print JSON")
	markdown := fs.Bool("markdown", false, "print a Markdown table for the manual")
	return func(_ context.Context, in Invocation) error {
		if *asJSON {
			return printJSON(in.Out, settings.Keys())
		}
		if *markdown {
			printMarkdown(in)
			return nil
		}
		return printTable(in.Out, func(t *tabwriter.Writer) {
			for _, k := range settings.Keys() {
				fmt.Fprintf(t, "%s\t%s\tdefault %q\t%s\t%s\n", k.Name, k.AllowedValues(), k.Default, keyScope(k), k.Doc)
			}
		})
	}
}

func printMarkdown(in Invocation) {
	fmt.Fprintln(in.Out, "| key | allowed | default | where | meaning |\n| --- | --- | --- | --- | --- |")
	for _, k := range settings.Keys() {
		fmt.Fprintf(in.Out, "| `%s` | %s | %s | %s | %s |\n", k.Name, k.AllowedValues(), k.Default, keyScope(k), k.Doc)
	}
}

// keyScope describes the paths at which a key may be set.
func keyScope(k settings.Key) string {
	switch {
	case k.ZoneOnly:
		return "availability zone"
	case k.ServiceOnly:
		return "service of a zone"
	}
	return "any path"
}

func runComplete(_ context.Context, in Invocation) error {
	if len(in.Arguments) == 0 {
		var names []string
		for _, c := range commands {
			names = append(names, c.Name)
		}
		fmt.Fprintln(in.Out, strings.Join(names, " "))
		return nil
	}
	c, ok := findCommand(in.Arguments[0])
	if !ok || c.Completions == nil {
		return nil
	}
	fmt.Fprintln(in.Out, strings.Join(c.Completions(), " "))
	return nil
}
