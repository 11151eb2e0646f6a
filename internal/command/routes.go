package command

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"

	"ledgesill.dev/ledgesill/internal/operator"
	"ledgesill.dev/ledgesill/pkg/catalog"
)

func init() {
	register(Command{
		Name:    "routes",
		Summary: "show the document of routes in force, or put another one in force",
		Example: "ledgesill routes\nledgesill routes -json > routes.json\nledgesill routes -file routes.json",
		Options: routesOptions,
	})
}

func routesOptions(fs *flag.FlagSet) func(context.Context, Invocation) error {
	var c connection
	c.register(fs)
	file := fs.String("file", "", "document that is to be in force; its base must be the number of the one that is")
	text := fs.Bool("text", false, "print the document as its author wrote it")
	return func(ctx context.Context, in Invocation) error {
		client, err := c.client()
		if err != nil {
			return err
		}
		if *file != "" {
			return putRoutes(ctx, in, client, *file)
		}
		path := "/v1/routes"
		if *text {
			path += "?text=true"
		}
		var got json.RawMessage
		if err := client.Do(ctx, http.MethodGet, path, nil, &got); err != nil {
			return err
		}
		if c.JSON || *text {
			_, err := fmt.Fprintln(in.Out, string(got))
			return err
		}
		d, err := catalog.ParseDocument(got)
		if err != nil {
			return err
		}
		return printRoutes(in, d)
	}
}

func putRoutes(ctx context.Context, in Invocation, client *operator.Client, file string) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return usageError("reading the document: %w", err)
	}
	if !json.Valid(text) {
		return usageError("%s: it is not JSON", file)
	}
	var v operator.RoutesVerdict
	if err := client.Do(ctx, http.MethodPut, "/v1/routes", json.RawMessage(text), &v); err != nil {
		return err
	}
	_, err = fmt.Fprintf(in.Out, "document %d is in force\n", v.Number)
	return err
}

func printRoutes(in Invocation, d catalog.Document) error {
	fmt.Fprintf(in.Out, "document %d, made against %d\n\n", d.Number, d.Base)
	return table(in.Out, func(t *tabwriter.Writer) {
		fmt.Fprintln(t, "HOST\tPREFIX\tROUTE\tKIND\tOBJECTIVE\tTIME-OUT\tTO (WEIGHT)\tREGIONS")
		for _, h := range d.Hosts {
			for _, r := range h.Routes {
				var to []string
				for _, service := range r.Destinations {
					to = append(to, fmt.Sprintf("%s (%g)", service.Service, service.Weight))
				}
				fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", h.Name, r.Prefix, r.Name, r.Repeat,
					r.Objective, r.Timeout, strings.Join(to, ", "), strings.Join(r.Regions, ", "))
			}
		}
	})
}
