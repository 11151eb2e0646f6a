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

// Bounds of a tree, so that a change can't exhaust the memory of the boxes.
const (
	MaxSettings   = 200_000
	MaxValueBytes = 1 << 20
)

// Tree is an immutable tree of settings. The zero value is the empty tree,
// with the default of every key in force.
type Tree struct {
	nodes map[Path]map[string]string
	size  int
}

// InvalidError says which key at which path is wrong.
type InvalidError struct {
	Path   string
	Key    string
	Value  string
	Reason string
}

// Error implements error.
func (e *InvalidError) Error() string {
	value := e.Value
	if len(value) > maxName {
		value = value[:maxName] + "..."
	}
	if e.Key == "" {
		return fmt.Sprintf("at %s: %s", e.Path, e.Reason)
	}
	return fmt.Sprintf("at %s: key %s with value %q: %s", e.Path, e.Key, value, e.Reason)
}

// WithEdits returns the tree after the edits. The result is checked as a whole.
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

// GetLocal returns the value that is set at exactly this path, if any.
func (t Tree) GetLocal(p Path, key string) (string, bool) {
	v, ok := t.nodes[p][key]
	return v, ok
}

// Get returns the value in force at a path: that of the most specific node
// that sets the key. A service's node goes before the places around it, and
// among nodes of the same sort the zone goes before the region and the region
// before the defaults.
func (t Tree) Get(p Path, key string) string {
	for _, level := range inheritance(p) {
		if v, ok := t.nodes[level][key]; ok {
			return v
		}
	}
	k, _ := Lookup(key)
	return k.Default
}

func inheritance(p Path) []Path {
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
		return 0 // no tree holds an unchecked value
	}
	return n
}

func (t Tree) boolean(p Path, key string) bool { return t.Get(p, key) == "true" }

// Settings returns all settings in the order of their paths and keys.
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

// paths returns the paths that set a key, in order.
func (t Tree) paths() []Path {
	return slices.SortedFunc(maps.Keys(t.nodes), func(a, b Path) int {
		return strings.Compare(a.String(), b.String())
	})
}

// FromSettings builds and checks a tree.
func FromSettings(list []*wire.Setting) (Tree, error) {
	edits := make([]*wire.Edit, 0, len(list))
	for _, s := range list {
		edits = append(edits, &wire.Edit{Path: s.Path, Key: s.Key, Value: s.Value})
	}
	return Tree{}.WithEdits(edits)
}

// Inverse returns the edits that would undo edits made to t.
func (t Tree) Inverse(edits []*wire.Edit) []*wire.Edit {
	out := make([]*wire.Edit, 0, len(edits))
	for _, e := range slices.Backward(edits) {
		p, err := ParsePath(e.Path)
		if err != nil {
			continue // only accepted edits are undone, and their paths can be read
		}
		value, had := t.GetLocal(p, e.Key)
		out = append(out, &wire.Edit{Path: e.Path, Key: e.Key, Value: value, Unset: !had})
	}
	return out
}

// Diff returns the edits that lead from t to other.
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
