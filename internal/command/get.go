package command

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"strings"
	"text/tabwriter"

	"ledgesill.dev/ledgesill/internal/operator"
	"ledgesill.dev/ledgesill/pkg/settings"
	"ledgesill.dev/ledgesill/pkg/wire"
)

func init() {
	register(Command{
		Name:        "get",
		Summary:     "show settings, or with -effective the values in effect at a path",
		Arguments:   "[path [key]]",
		Example:     "ledgesill get /us-east\nledgesill get -effective /us-east/us-east-a:resolver slots",
		Setup:       getOptions,
		Completions: settingKeyNames,
	})
}

func settingKeyNames() []string {
	var out []string
	for _, k := range settings.Keys() {
		out = append(out, k.Name)
	}
	return out
}

func getOptions(fs *flag.FlagSet) func(context.Context, Invocation) error {
	var c clientFlags
	c.register(fs)
	effective := fs.Bool("effective", false, "show the values in effect at the path, including inherited ones")
	stale := fs.Bool("stale", false, "accept possibly stale settings from a replica that can't reach a quorum")
	file := fs.Bool("file", false, "print the whole tree as a tree file")
	return func(ctx context.Context, in Invocation) error {
		got, err := fetchSettings(ctx, &c, *stale)
		if err != nil {
			return err
		}
		if !got.Fresh {
			fmt.Fprintf(in.Err, "not confirmed by a quorum; last contact with a leader %d ms ago\n", got.AgeMillis)
		}
		if *file {
			return printTree(in, got)
		}
		if *effective {
			return printEffective(in, &c, got)
		}
		return printSettings(in, &c, got)
	}
}

func fetchSettings(ctx context.Context, c *clientFlags, stale bool) (operator.Settings, error) {
	var got operator.Settings
	client, err := c.client()
	if err != nil {
		return got, err
	}
	path := "/v1/settings"
	if stale {
		path += "?stale=true"
	}
	return got, client.Do(ctx, http.MethodGet, path, nil, &got)
}

func toTree(got operator.Settings) (settings.Tree, error) {
	list := make([]*wire.Setting, 0, len(got.Settings))
	for _, s := range got.Settings {
		list = append(list, &wire.Setting{Path: s.Path, Key: s.Key, Value: s.Value})
	}
	return settings.FromSettings(list)
}

func printTree(in Invocation, got operator.Settings) error {
	t, err := toTree(got)
	if err != nil {
		return err
	}
	data, err := settings.FormatFile(t)
	if err != nil {
		return err
	}
	_, err = in.Out.Write(data)
	return err
}

func printSettings(in Invocation, c *clientFlags, got operator.Settings) error {
	shown := operator.Settings{Version: got.Version, Fresh: got.Fresh, AgeMillis: got.AgeMillis, Settings: []operator.Setting{}}
	for _, s := range got.Settings {
		if matchesPathAndKey(in.Arguments, s) {
			shown.Settings = append(shown.Settings, s)
		}
	}
	if c.JSON {
		return printJSON(in.Out, shown)
	}
	fmt.Fprintf(in.Out, "version %d\n", shown.Version)
	return printTable(in.Out, func(t *tabwriter.Writer) {
		for _, s := range shown.Settings {
			fmt.Fprintf(t, "%s\t%s\t%s\n", s.Path, s.Key, s.Value)
		}
	})
}

// matchesPathAndKey reports whether a setting matches the arguments: a prefix of
// its path and its key, both optional.
func matchesPathAndKey(args []string, s operator.Setting) bool {
	if len(args) > 0 && !strings.HasPrefix(s.Path, args[0]) {
		return false
	}
	return len(args) < 2 || s.Key == args[1]
}

func printEffective(in Invocation, c *clientFlags, got operator.Settings) error {
	if len(in.Arguments) == 0 {
		return usageError("get -effective needs a path")
	}
	p, err := settings.ParsePath(in.Arguments[0])
	if err != nil {
		return &ExitError{ExitUsage, err}
	}
	t, err := toTree(got)
	if err != nil {
		return err
	}
	var out []operator.Setting
	for _, k := range settings.Keys() {
		s := operator.Setting{Path: p.String(), Key: k.Name, Value: t.Get(p, k.Name)}
		if len(in.Arguments) < 2 || in.Arguments[1] == k.Name {
			out = append(out, s)
		}
	}
	if len(out) == 0 {
		return usageError("unknown key %q; ledgesill keys lists all keys", in.Arguments[1])
	}
	if c.JSON {
		return printJSON(in.Out, out)
	}
	return printTable(in.Out, func(w *tabwriter.Writer) {
		for _, s := range out {
			fmt.Fprintf(w, "%s\t%s\n", s.Key, s.Value)
		}
	})
}
