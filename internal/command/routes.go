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
		Summary: "show the active routes document, or replace it",
		Example: "ledgesill routes\nledgesill routes -json > routes.json\nledgesill routes -file routes.json",
		Setup:   routesOptions,
	})
}

func routesOptions(fs *flag.FlagSet) func(context.Context, Invocation) error {
	var c clientFlags
	c.register(fs)
	file := fs.String("file", "", "routes document to activate; its base must be the number of the active one")
	text := fs.Bool("text", false, "print the document in its original text")
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
		return usageError("reading the routes document: %w", err)
	}
	if !json.Valid(text) {
		return usageError("%s: not valid JSON", file)
	}
	var v operator.RoutesVerdict
	if err := client.Do(ctx, http.MethodPut, "/v1/routes", json.RawMessage(text), &v); err != nil {
		return err
	}
	_, err = fmt.Fprintf(in.Out, "document %d is active\n", v.Number)
	return err
}

func printRoutes(in Invocation, d catalog.Document) error {
	fmt.Fprintf(in.Out, "document %d, based on %d\n\n", d.Number, d.Base)
	return printTable(in.Out, func(t *tabwriter.Writer) {
		fmt.Fprintln(t, "HOST\tPREFIX\tROUTE\tKIND\tOBJECTIVE\tTIMEOUT\tTO (WEIGHT)\tREGIONS")
		for _, h := range d.Hosts {
			for _, r := range h.Routes {
				var destinations []string
				for _, to := range r.Destinations {
					destinations = append(destinations, fmt.Sprintf("%s (%g)", to.Service, to.Weight))
				}
				fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", h.Name, r.Prefix, r.Name, r.Repeat,
					r.Objective, r.Timeout, strings.Join(destinations, ", "), strings.Join(r.Regions, ", "))
			}
		}
	})
}
