package command

import (
	"context"
	"crypto/rand"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/user"
	"strings"

	"ledgesill.dev/ledgesill/internal/operator"
	"ledgesill.dev/ledgesill/pkg/settings"
	"ledgesill.dev/ledgesill/pkg/wire"
)

func init() {
	register(Command{
		Name:      "set",
		Summary:   "change settings with one or several edits, all or none of which take effect",
		Arguments: "path key=value|key- [path key=value|key-]...",
		Example: "ledgesill set / answerTtlMillis=500 /us-east:resolver reserveShare=20\n" +
			"ledgesill set -id rollout-7 -base 41 /us-east/us-east-a drainBoxes=fp-1\n" +
			"ledgesill set -file tree.json",
		Setup:       setOptions,
		Completions: settingKeyNames,
	})
}

func setOptions(fs *flag.FlagSet) func(context.Context, Invocation) error {
	var c clientFlags
	c.register(fs)
	id := fs.String("id", "", "id of the change; sending it again with the same id returns the first verdict (default: a random one)")
	base := fs.Int64("base", -1, "settings version that the change is based on (default: the current one)")
	file := fs.String("file", "", "tree file with settings to set")
	return func(ctx context.Context, in Invocation) error {
		edits, err := readEdits(in.Arguments, *file)
		if err != nil {
			return err
		}
		change := operator.Change{ID: *id, Edits: edits, Author: currentUser()}
		if *base >= 0 {
			change.BaseVersion = uint64(*base)
		}
		return submitChange(ctx, in, &c, change, *base < 0)
	}
}

func readEdits(args []string, file string) ([]operator.Edit, error) {
	var edits []operator.Edit
	if file != "" {
		fromFile, err := readTreeFile(file)
		if err != nil {
			return nil, err
		}
		for _, e := range fromFile {
			edits = append(edits, operator.Edit{Path: e.Path, Key: e.Key, Value: e.Value})
		}
	}
	if len(args)%2 != 0 {
		return nil, usageError("edits come in pairs: a path and key=value, or key- to unset")
	}
	for i := 0; i < len(args); i += 2 {
		e, err := operator.ParseEdit(args[i], args[i+1])
		if err != nil {
			return nil, &ExitError{ExitUsage, err}
		}
		edits = append(edits, e)
	}
	if len(edits) == 0 {
		return nil, usageError("there is nothing to set; give edits or -file")
	}
	return edits, nil
}

func readTreeFile(path string) ([]*wire.Edit, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, usageError("reading the tree file: %w", err)
	}
	edits, err := settings.ParseFile(data)
	if err != nil {
		return nil, usageError("%s: %w", path, err)
	}
	return edits, nil
}

func currentUser() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return ""
}

// submitChange sends a change and prints its verdict. With currentBase, the
// change is based on the current settings version. If the request fails, its
// outcome may be unknown; the id and base that are printed allow sending the same
// change again.
func submitChange(ctx context.Context, in Invocation, c *clientFlags, change operator.Change, currentBase bool) error {
	if change.ID == "" {
		change.ID = rand.Text()
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	if currentBase {
		got, err := fetchSettings(ctx, c, false)
		if err != nil {
			return err
		}
		change.BaseVersion = got.Version
	}
	var v operator.Verdict
	if err := client.Do(ctx, http.MethodPost, "/v1/changes", change, &v); err != nil {
		fmt.Fprintf(in.Err, "to send the same change again: -id %s -base %d\n", change.ID, change.BaseVersion)
		return err
	}
	return printVerdict(in, c, v)
}

func printVerdict(in Invocation, c *clientFlags, v operator.Verdict) error {
	if c.JSON {
		if err := printJSON(in.Out, v); err != nil {
			return err
		}
	} else {
		fmt.Fprintf(in.Out, "%s: change %s, settings version %d\n", v.Verdict, v.ID, v.Version)
	}
	if v.Verdict == operator.Accepted {
		return nil
	}
	text := v.Detail
	if len(v.Conflicts) > 0 {
		text += "; also changed since: " + strings.Join(v.Conflicts, ", ")
	}
	return &ExitError{ExitRejected, fmt.Errorf("change %s was not accepted (%s): %s", v.ID, v.Verdict, text)}
}
