package settings

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"ledgesill.dev/ledgesill/pkg/wire"
)

// Limits of a tree, so that a change can't exhaust the memory of the boxes.
const (
	MaxSettings   = 200_000
	MaxValueBytes = 1 << 20
)

// Tree is an immutable tree of settings. In the zero value every key has its default.
type Tree struct {
	nodes map[Path]map[string]string
	size  int
}

// InvalidError says which key at which path is invalid, and why.
type InvalidError struct {
	Path   string
	Key    string
	Value  string
	Reason string
}

// Error implements error.
func (e *InvalidError) Error() string {
	value := e.Value
	if len(value) > maxNameLength {
		value = value[:maxNameLength] + "..."
	}
	if e.Key == "" {
		return fmt.Sprintf("at %s: %s", e.Path, e.Reason)
	}
	return fmt.Sprintf("at %s: key %s with value %q: %s", e.Path, e.Key, value, e.Reason)
}

// WithEdits returns the tree after the edits, validated as a whole.
func (t Tree) WithEdits(edits []*wire.Edit) (Tree, error) {
	next := Tree{nodes: maps.Clone(t.nodes), size: t.size}
	if next.nodes == nil {
		next.nodes = make(map[Path]map[string]string)
	}
	copied := make(map[Path]bool)
	for _, e := range edits {
		p, err := checkEdit(e)
		if err != nil {
			return t, err
		}
		if !copied[p] {
			next.nodes[p] = maps.Clone(next.nodes[p])
			copied[p] = true
		}
		next.apply(p, e)
	}
	if next.size > MaxSettings {
		return t, &InvalidError{Path: "/", Reason: fmt.Sprintf("the tree would have more than %d settings", MaxSettings)}
	}
	if err := next.Check(); err != nil {
		return t, err
	}
	return next, nil
}

func (t *Tree) apply(p Path, e *wire.Edit) {
	node := t.nodes[p]
	_, had := node[e.Key]
	if e.Unset {
		if had {
			delete(node, e.Key)
			t.size--
		}
		if len(node) == 0 {
			delete(t.nodes, p)
		}
		return
	}
	if node == nil {
		node = make(map[string]string)
		t.nodes[p] = node
	}
	if !had {
		t.size++
	}
	node[e.Key] = e.Value
}

func checkEdit(e *wire.Edit) (Path, error) {
	p, err := ParsePath(e.Path)
	if err != nil {
		return p, err
	}
	k, ok := Lookup(e.Key)
	if !ok {
		return p, &InvalidError{Path: e.Path, Key: e.Key, Value: e.Value, Reason: "there is no such key"}
	}
	if e.Unset {
		return p, nil
	}
	if len(e.Value) > MaxValueBytes {
		return p, &InvalidError{Path: e.Path, Key: e.Key, Reason: fmt.Sprintf("a value has at most %d bytes", MaxValueBytes)}
	}
	if k.ZoneOnly && (p.Zone == "" || p.Service != "") {
		return p, &InvalidError{Path: e.Path, Key: e.Key, Value: e.Value, Reason: "it may stand only at an availability zone"}
	}
	if k.ServiceOnly && (p.Zone == "" || p.Service == "") {
		return p, &InvalidError{Path: e.Path, Key: e.Key, Value: e.Value, Reason: "it may stand only at a service of an availability zone"}
	}
	if reason := k.check(e.Value); reason != "" {
		return p, &InvalidError{Path: e.Path, Key: e.Key, Value: e.Value, Reason: reason}
	}
	return p, nil
}

// GetLocal returns the value set at exactly this path, without inheritance.
func (t Tree) GetLocal(p Path, key string) (string, bool) {
	v, ok := t.nodes[p][key]
	return v, ok
}

// Get returns the effective value at a path: that of the most specific node that sets
// the key, or else the default. Nodes of the service take precedence over nodes without
// one, and among either the zone takes precedence over the region and the region over
// the root.
func (t Tree) Get(p Path, key string) string {
	for _, level := range lookupOrder(p) {
		if v, ok := t.nodes[level][key]; ok {
			return v
		}
	}
	k, _ := Lookup(key)
	return k.Default
}

// lookupOrder returns the paths that a path inherits from, most specific first.
func lookupOrder(p Path) []Path {
	places := []Path{{Region: p.Region, Zone: p.Zone}, {Region: p.Region}, {}}
	levels := make([]Path, 0, 2*len(places))
	if p.Service != "" {
		for _, q := range places {
			q.Service = p.Service
			levels = append(levels, q)
		}
	}
	return append(levels, places...)
}

func (t Tree) integer(p Path, key string) int {
	n, err := strconv.Atoi(t.Get(p, key))
	if err != nil {
		return 0 // can't happen: a tree holds only validated values
	}
	return n
}

func (t Tree) boolean(p Path, key string) bool { return t.Get(p, key) == "true" }

// Settings returns all settings, sorted by path and key.
func (t Tree) Settings() []*wire.Setting {
	out := make([]*wire.Setting, 0, t.size)
	for p, node := range t.nodes {
		for k, v := range node {
			out = append(out, &wire.Setting{Path: p.String(), Key: k, Value: v})
		}
	}
	slices.SortFunc(out, func(a, b *wire.Setting) int {
		return cmp.Or(strings.Compare(a.Path, b.Path), strings.Compare(a.Key, b.Key))
	})
	return out
}

// paths returns the paths at which any key is set, sorted.
func (t Tree) paths() []Path {
	return slices.SortedFunc(maps.Keys(t.nodes), func(a, b Path) int {
		return strings.Compare(a.String(), b.String())
	})
}

// FromSettings builds and validates a tree.
func FromSettings(list []*wire.Setting) (Tree, error) {
	edits := make([]*wire.Edit, 0, len(list))
	for _, s := range list {
		edits = append(edits, &wire.Edit{Path: s.Path, Key: s.Key, Value: s.Value})
	}
	return Tree{}.WithEdits(edits)
}

// Inverse returns the edits that undo edits made to t.
func (t Tree) Inverse(edits []*wire.Edit) []*wire.Edit {
	out := make([]*wire.Edit, 0, len(edits))
	for _, e := range slices.Backward(edits) {
		p, err := ParsePath(e.Path)
		if err != nil {
			continue // can't happen: only accepted edits are undone, and their paths are valid
		}
		value, had := t.GetLocal(p, e.Key)
		out = append(out, &wire.Edit{Path: e.Path, Key: e.Key, Value: value, Unset: !had})
	}
	return out
}

// Diff returns the edits that turn t into other.
func (t Tree) Diff(other Tree) []*wire.Edit {
	var out []*wire.Edit
	for _, s := range other.Settings() {
		p, _ := ParsePath(s.Path)
		if v, ok := t.GetLocal(p, s.Key); !ok || v != s.Value {
			out = append(out, &wire.Edit{Path: s.Path, Key: s.Key, Value: s.Value})
		}
	}
	for _, s := range t.Settings() {
		p, _ := ParsePath(s.Path)
		if _, ok := other.GetLocal(p, s.Key); !ok {
			out = append(out, &wire.Edit{Path: s.Path, Key: s.Key, Unset: true})
		}
	}
	return out
}
