package catalog

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// repeatNames are the names of the Repeat values in a document.
var repeatNames = []string{"unrepeatable", "repeatable", "download"}

// documentText is a document in ledgesill's native JSON format. Durations are in whole
// milliseconds.
type documentText struct {
	Number   uint64        `json:"number"`
	Base     uint64        `json:"base"`
	Limits   limitsText    `json:"limits"`
	Hosts    []hostText    `json:"hosts"`
	Services []serviceText `json:"services"`

	Workspaces []workspaceText `json:"workspaces,omitempty"`
}

type workspaceText struct {
	Name      string   `json:"name"`
	Keys      []string `json:"keys"`
	Priority  int      `json:"priority,omitempty"`
	PerSecond float64  `json:"perSecond,omitempty"`
	Burst     float64  `json:"burst,omitempty"`
	Regions   []string `json:"regions,omitempty"`
}

type limitsText struct {
	HeaderBytes  int   `json:"headerBytes,omitempty"`
	BodyBytes    int64 `json:"bodyBytes,omitempty"`
	HeaderMillis int64 `json:"headerMillis,omitempty"`
	IdleMillis   int64 `json:"idleMillis,omitempty"`
}

type hostText struct {
	Name   string      `json:"name"`
	Routes []routeText `json:"routes"`
}

type routeText struct {
	Name            string            `json:"name"`
	Prefix          string            `json:"prefix"`
	Repeat          string            `json:"repeat"`
	ObjectiveMillis int64             `json:"objectiveMillis"`
	Priority        int               `json:"priority,omitempty"`
	Affinity        bool              `json:"affinity,omitempty"`
	Destinations    []destinationText `json:"destinations"`
	TimeoutMillis   int64             `json:"timeoutMillis"`
	MaxAttempts     int               `json:"maxAttempts"`
	Regions         []string          `json:"regions,omitempty"`
	Public          bool              `json:"public,omitempty"`
}

type destinationText struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

type serviceText struct {
	Name           string  `json:"name"`
	HealthPath     string  `json:"healthPath,omitempty"`
	MaxConnections int     `json:"maxConnections,omitempty"`
	ColdMillis     int64   `json:"coldMillis,omitempty"`
	ColdRate       float64 `json:"coldRate,omitempty"`
}

// ParseDocument parses a document in ledgesill's native JSON format. It does not
// validate the content; call Document.Check for that. Errors are InvalidErrors.
func ParseDocument(text []byte) (Document, error) {
	var t documentText
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&t); err != nil {
		return Document{}, &InvalidError{Reason: err.Error()}
	}
	if decoder.More() {
		return Document{}, &InvalidError{Reason: "something stands behind its end"}
	}
	d := Document{
		Number: t.Number,
		Base:   t.Base,
		Limits: Limits{
			HeaderBytes: t.Limits.HeaderBytes,
			BodyBytes:   t.Limits.BodyBytes,
			HeaderTime:  millis(t.Limits.HeaderMillis),
			IdleTime:    millis(t.Limits.IdleMillis),
		},
	}
	for _, h := range t.Hosts {
		host := Host{Name: h.Name}
		for _, r := range h.Routes {
			route, err := r.route()
			if err != nil {
				return Document{}, err
			}
			host.Routes = append(host.Routes, route)
		}
		d.Hosts = append(d.Hosts, host)
	}
	for _, s := range t.Services {
		d.Services = append(d.Services, Service{
			Name:           s.Name,
			HealthPath:     s.HealthPath,
			MaxConnections: s.MaxConnections,
			ColdTime:       millis(s.ColdMillis),
			ColdRate:       s.ColdRate,
		})
	}
	for _, w := range t.Workspaces {
		d.Workspaces = append(d.Workspaces, w.workspace())
	}
	return d, nil
}

func (t workspaceText) workspace() Workspace {
	return Workspace{
		Name:     t.Name,
		Keys:     t.Keys,
		Priority: t.Priority,
		Limit:    RateLimit{PerSecond: t.PerSecond, Burst: t.Burst},
		Regions:  t.Regions,
	}
}

// encodeRedactedWorkspace replaces each key by RedactedKey, since the text is shown to
// people.
func encodeRedactedWorkspace(w Workspace) workspaceText {
	keys := make([]string, len(w.Keys))
	for i := range keys {
		keys[i] = RedactedKey
	}
	return workspaceText{
		Name:      w.Name,
		Keys:      keys,
		Priority:  w.Priority,
		PerSecond: w.Limit.PerSecond,
		Burst:     w.Limit.Burst,
		Regions:   w.Regions,
	}
}

func (t routeText) route() (Route, error) {
	repeat := slices.Index(repeatNames, t.Repeat)
	if repeat < 0 {
		reason := fmt.Sprintf("repeat is %q; allowed are %v", t.Repeat, repeatNames)
		return Route{}, &InvalidError{Route: t.Name, Reason: reason}
	}
	r := Route{
		Name:        t.Name,
		Prefix:      t.Prefix,
		Repeat:      Repeat(repeat),
		Objective:   millis(t.ObjectiveMillis),
		Priority:    t.Priority,
		Affinity:    t.Affinity,
		Timeout:     millis(t.TimeoutMillis),
		MaxAttempts: t.MaxAttempts,
		Regions:     t.Regions,
		Public:      t.Public,
	}
	for _, d := range t.Destinations {
		r.Destinations = append(r.Destinations, Destination(d))
	}
	return r, nil
}

// Text returns the document in ledgesill's native JSON format, for people to read: each
// key is replaced by RedactedKey.
func (d Document) Text() []byte {
	t := documentText{
		Number: d.Number,
		Base:   d.Base,
		Limits: limitsText{
			HeaderBytes:  d.Limits.HeaderBytes,
			BodyBytes:    d.Limits.BodyBytes,
			HeaderMillis: d.Limits.HeaderTime.Milliseconds(),
			IdleMillis:   d.Limits.IdleTime.Milliseconds(),
		},
		Hosts:    []hostText{},
		Services: []serviceText{},
	}
	for _, h := range d.Hosts {
		host := hostText{Name: h.Name, Routes: []routeText{}}
		for _, r := range h.Routes {
			host.Routes = append(host.Routes, encodeRoute(r))
		}
		t.Hosts = append(t.Hosts, host)
	}
	for _, s := range d.Services {
		t.Services = append(t.Services, serviceText{
			Name:           s.Name,
			HealthPath:     s.HealthPath,
			MaxConnections: s.MaxConnections,
			ColdMillis:     s.ColdTime.Milliseconds(),
			ColdRate:       s.ColdRate,
		})
	}
	for _, w := range d.Workspaces {
		t.Workspaces = append(t.Workspaces, encodeRedactedWorkspace(w))
	}
	text, err := json.MarshalIndent(t, "", "  ")
	if err != nil {
		panic(err) // only a NaN or infinite weight can't be encoded, and no parser accepts one
	}
	return append(text, '\n')
}

func encodeRoute(r Route) routeText {
	t := routeText{
		Name:            r.Name,
		Prefix:          r.Prefix,
		Repeat:          r.Repeat.String(),
		ObjectiveMillis: r.Objective.Milliseconds(),
		Priority:        r.Priority,
		Affinity:        r.Affinity,
		Destinations:    []destinationText{},
		TimeoutMillis:   r.Timeout.Milliseconds(),
		MaxAttempts:     r.MaxAttempts,
		Regions:         r.Regions,
		Public:          r.Public,
	}
	for _, d := range r.Destinations {
		t.Destinations = append(t.Destinations, destinationText(d))
	}
	return t
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
