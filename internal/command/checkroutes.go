package command

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"

	"ledgesill.dev/ledgesill/internal/config"
	"ledgesill.dev/ledgesill/internal/operator"
	"ledgesill.dev/ledgesill/pkg/catalog"
	"ledgesill.dev/ledgesill/pkg/routecheck"
	"ledgesill.dev/ledgesill/platform"
)

// maxDocumentBytes is the size up to which control replicas accept the text of a routes document.
const maxDocumentBytes = 16 << 20

// routesCheck is a run of check routes or check platform-routes.
type routesCheck struct {
	name          string
	decode        func(text []byte) (catalog.Document, error)
	client        clientFlags
	against       string
	againstActive bool
}

// routesReport is the result of a check, as -json prints it.
type routesReport struct {
	File       string `json:"file"`
	Number     uint64 `json:"number"`
	Base       uint64 `json:"base"`
	Hosts      int    `json:"hosts"`
	Routes     int    `json:"routes"`
	Services   int    `json:"services"`
	Workspaces int    `json:"workspaces"`
	Valid      bool   `json:"valid"`
	Errors     int    `json:"errors"`
	Warnings   int    `json:"warnings"`
	Notes      int    `json:"notes"`

	Findings []routecheck.Finding `json:"findings"`
	// Against names the document that this one was compared with, and Changes are the
	// differences; both are missing if it was not compared.
	Against string               `json:"against,omitempty"`
	Changes *[]routecheck.Change `json:"changes,omitempty"`
}

func checkRoutes(ctx context.Context, in Invocation) error {
	c := &routesCheck{name: in.Arguments[0], decode: catalog.ParseDocument}
	if c.name == "platform-routes" {
		c.decode = platform.DecodeRoutes
	}
	file, help, err := c.parse(in)
	if err != nil || help {
		return err
	}
	text, err := readDocument(file)
	if err != nil {
		return err
	}
	d, err := c.decodeText(file, text)
	if err != nil {
		return err
	}
	report := newRoutesReport(file, d)
	if err := c.compare(ctx, d, &report); err != nil {
		return err
	}
	report.count()
	if c.client.JSON {
		err = printJSON(in.Out, report)
	} else {
		err = report.print(in.Out)
	}
	if err == nil && !report.Valid {
		return &ExitError{ExitRejected, fmt.Errorf("%s: not valid, %s", file, plural(report.Errors, "error"))}
	}
	return err
}

// parse reads the flags, which may stand before and behind the file.
func (c *routesCheck) parse(in Invocation) (file string, help bool, err error) {
	fs := flag.NewFlagSet("ledgesill check "+c.name, flag.ContinueOnError)
	fs.SetOutput(in.Err)
	fs.Usage = func() {
		printHelp(in.Out, fs, Command{
			Name: "check " + c.name, Arguments: "FILE",
			Summary: "list the errors of a routes document, entries without effect, contradictions and differences, without sending it",
			Example: "ledgesill check " + c.name + " -against old.json new.json",
		})
	}
	c.client.register(fs)
	fs.StringVar(&c.against, "against", "", "file of the document that this one is to replace; shows the differences")
	fs.BoolVar(&c.againstActive, "against-active", false, "compare with the active document, which is read from -servers with the -token of the operators")
	args := in.Arguments[1:]
	var files []string
	for {
		help, err := config.Parse(fs, args)
		if help {
			return "", true, nil
		}
		if err != nil {
			return "", false, &ExitError{ExitUsage, err}
		}
		if fs.NArg() == 0 {
			break
		}
		files = append(files, fs.Arg(0))
		args = fs.Args()[1:]
	}
	if len(files) != 1 {
		return "", false, usageError("check %s needs one routes document", c.name)
	}
	if c.against != "" && c.againstActive {
		return "", false, usageError("check %s takes either -against or -against-active", c.name)
	}
	return files[0], false, nil
}

func readDocument(file string) ([]byte, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, usageError("reading the routes document: %w", err)
	}
	defer f.Close() // it was only read
	text, err := io.ReadAll(io.LimitReader(f, maxDocumentBytes+1))
	switch {
	case err != nil:
		return nil, usageError("reading the routes document: %w", err)
	case len(text) > maxDocumentBytes:
		return nil, usageError("%s: longer than the %d bytes that control replicas accept", file, maxDocumentBytes)
	}
	return text, nil
}

// decodeText decodes a document. Errors name the line at which a text is not JSON.
func (c *routesCheck) decodeText(name string, text []byte) (catalog.Document, error) {
	if len(bytes.TrimSpace(text)) == 0 {
		return catalog.Document{}, usageError("%s: empty", name)
	}
	var raw json.RawMessage
	var syntax *json.SyntaxError
	if err := json.Unmarshal(text, &raw); errors.As(err, &syntax) {
		line, column := position(text, syntax.Offset)
		if errors.Is(json.NewDecoder(bytes.NewReader(text)).Decode(&raw), io.ErrUnexpectedEOF) {
			return catalog.Document{}, usageError("%s: not valid JSON: the text ends too early, at line %d, column %d: %w", name, line, column, err)
		}
		return catalog.Document{}, usageError("%s: not valid JSON at line %d, column %d: %w", name, line, column, err)
	}
	d, err := c.decode(text)
	if err != nil {
		return d, usageError("%s: %w", name, err)
	}
	return d, nil
}

// position returns the line and the column, in bytes, of the last byte of a text's first size
// bytes, both from 1 on.
func position(text []byte, size int64) (line, column int) {
	read := text[:min(size, int64(len(text)))]
	if len(read) == 0 {
		return 1, 1
	}
	before := read[:len(read)-1]
	return bytes.Count(before, []byte("\n")) + 1, len(before) - bytes.LastIndexByte(before, '\n')
}

func newRoutesReport(file string, d catalog.Document) routesReport {
	r := routesReport{
		File: file, Number: d.Number, Base: d.Base, Hosts: len(d.Hosts),
		Services: len(d.Services), Workspaces: len(d.Workspaces), Findings: routecheck.Check(d),
	}
	for _, h := range d.Hosts {
		r.Routes += len(h.Routes)
	}
	return r
}

// compare adds the differences from the other document, if one is named.
func (c *routesCheck) compare(ctx context.Context, d catalog.Document, report *routesReport) error {
	var other catalog.Document
	var err error
	switch {
	case c.againstActive:
		report.Against = "the active document"
		other, err = c.active(ctx)
	case c.against != "":
		report.Against = c.against
		var text []byte
		if text, err = readDocument(c.against); err == nil {
			other, err = c.decodeText(c.against, text)
		}
	default:
		return nil
	}
	if err != nil {
		return err
	}
	changes, findings := routecheck.Compare(d, other)
	if changes == nil {
		changes = []routecheck.Change{}
	}
	report.Changes = &changes
	report.Findings = append(findings, report.Findings...)
	return nil
}

// active reads the active document as it was written; it is empty if none is active. Reading it
// changes nothing.
func (c *routesCheck) active(ctx context.Context) (catalog.Document, error) {
	client, err := c.client.client()
	if err != nil {
		return catalog.Document{}, err
	}
	var text json.RawMessage
	err = client.Do(ctx, http.MethodGet, "/v1/routes?text=true", nil, &text)
	var failure *operator.FailureError
	if errors.As(err, &failure) && failure.Failure.Code == operator.CodeNotFound {
		return catalog.Document{}, nil
	}
	if err != nil {
		// Exit code 3 is for a document that is refused, and this one was not examined.
		return catalog.Document{}, &ExitError{ExitFailed, fmt.Errorf("reading the active routes document: %w", err)}
	}
	return c.decodeText("the active document", text)
}

func (r *routesReport) count() {
	routecheck.Sort(r.Findings)
	r.Errors = routecheck.Count(r.Findings, routecheck.Error)
	r.Warnings = routecheck.Count(r.Findings, routecheck.Warning)
	r.Notes = routecheck.Count(r.Findings, routecheck.Note)
	r.Valid = r.Errors == 0
	if r.Findings == nil {
		r.Findings = []routecheck.Finding{}
	}
}

// print writes the report for people: the findings, the differences and a summary.
func (r *routesReport) print(w io.Writer) error {
	var b bytes.Buffer
	for _, f := range r.Findings {
		fmt.Fprintln(&b, f)
	}
	if r.Changes != nil {
		fmt.Fprintf(&b, "%s from %s\n", plural(len(*r.Changes), "difference"), r.Against)
		for _, c := range *r.Changes {
			fmt.Fprintln(&b, " ", c)
		}
	}
	verdict := "valid"
	if !r.Valid {
		verdict = "not valid"
	}
	fmt.Fprintf(&b, "%s: document %d, %d hosts, %d services, %d routes, %d workspaces - %s, %s, %s, %s\n",
		r.File, r.Number, r.Hosts, r.Services, r.Routes, r.Workspaces, verdict,
		plural(r.Errors, "error"), plural(r.Warnings, "warning"), plural(r.Notes, "note"))
	if _, err := w.Write(b.Bytes()); err != nil {
		return fmt.Errorf("writing the report: %w", err)
	}
	return nil
}

func plural(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}
