package command

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"ledgesill.dev/ledgesill/internal/operator"
	"ledgesill.dev/ledgesill/pkg/settings"
)

func init() {
	register(Command{
		Name:    "history",
		Summary: "show the most recent accepted changes",
		Setup:   historyOptions,
	})
	register(Command{
		Name:    "rollback",
		Summary: "undo all changes after a settings version with a new change",
		Example: "ledgesill rollback -to 41",
		Setup:   rollbackOptions,
	})
	register(Command{
		Name:      "diff",
		Summary:   "show how a tree file differs from the current settings",
		Arguments: "tree.json",
		Setup:     diffOptions,
	})
}

func fetchHistory(ctx context.Context, c *clientFlags) ([]operator.HistoryEntry, error) {
	client, err := c.client()
	if err != nil {
		return nil, err
	}
	var out []operator.HistoryEntry
	return out, client.Do(ctx, http.MethodGet, "/v1/history", nil, &out)
}

func historyOptions(fs *flag.FlagSet) func(context.Context, Invocation) error {
	var c clientFlags
	c.register(fs)
	return func(ctx context.Context, in Invocation) error {
		list, err := fetchHistory(ctx, &c)
		if err != nil {
			return err
		}
		if c.JSON {
			return printJSON(in.Out, list)
		}
		return printTable(in.Out, func(t *tabwriter.Writer) {
			for _, h := range list {
				at := time.UnixMilli(h.TimeUnixMilli).UTC().Format(time.RFC3339)
				fmt.Fprintf(t, "%d\t%s\t%s\t%s\t%s\n", h.Version, at, h.Author, h.ID, formatEdits(h.Edits))
			}
		})
	}
}

func formatEdits(edits []operator.Edit) string {
	var out []string
	for _, e := range edits {
		out = append(out, formatEdit(e))
	}
	return strings.Join(out, ", ")
}

func formatEdit(e operator.Edit) string {
	if e.Unset {
		return e.Path + " " + e.Key + "-"
	}
	return e.Path + " " + e.Key + "=" + e.Value
}

func rollbackOptions(fs *flag.FlagSet) func(context.Context, Invocation) error {
	var c clientFlags
	c.register(fs)
	to := fs.Int64("to", -1, "settings version to return to")
	id := fs.String("id", "", "id of the new change (default: a random one)")
	return func(ctx context.Context, in Invocation) error {
		if *to < 0 {
			return usageError("rollback needs -to with a settings version")
		}
		list, err := fetchHistory(ctx, &c)
		if err != nil {
			return err
		}
		change, err := rollbackChange(list, uint64(*to))
		if err != nil {
			return err
		}
		change.ID = *id
		change.Author = currentUser()
		return submitChange(ctx, in, &c, change, false)
	}
}

// rollbackChange combines the inverse edits of all changes after a version, from
// the newest to the oldest. Its base is the newest version, so that it conflicts
// with a change that is accepted in between.
func rollbackChange(list []operator.HistoryEntry, to uint64) (operator.Change, error) {
	var out operator.Change
	for _, h := range slices.Backward(list) {
		if h.Version <= to {
			break
		}
		out.BaseVersion = max(out.BaseVersion, h.Version)
		out.Edits = append(out.Edits, h.Inverse...)
	}
	if len(out.Edits) == 0 {
		return out, usageError("the history contains no change after version %d", to)
	}
	if oldest := list[0]; oldest.BaseVersion > to {
		return out, usageError("the history begins after version %d; the oldest version to return to is %d", to, oldest.BaseVersion)
	}
	return out, nil
}

func diffOptions(fs *flag.FlagSet) func(context.Context, Invocation) error {
	var c clientFlags
	c.register(fs)
	return func(ctx context.Context, in Invocation) error {
		if len(in.Arguments) != 1 {
			return usageError("diff needs one tree file")
		}
		edits, err := readTreeFile(in.Arguments[0])
		if err != nil {
			return err
		}
		wanted, err := settings.Tree{}.WithEdits(edits)
		if err != nil {
			return &ExitError{ExitUsage, err}
		}
		got, err := fetchSettings(ctx, &c, false)
		if err != nil {
			return err
		}
		current, err := toTree(got)
		if err != nil {
			return err
		}
		for _, e := range current.Diff(wanted) {
			fmt.Fprintln(in.Out, formatEdit(operator.Edit{Path: e.Path, Key: e.Key, Value: e.Value, Unset: e.Unset}))
		}
		return nil
	}
}
