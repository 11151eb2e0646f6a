package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"

	"ledgesill.dev/ledgesill/pkg/wire"
)

// ParseFile parses a tree file: a JSON object of paths, each an object of keys.
// Depending on the key, a value is a number, a boolean, a string or a list of strings.
// It returns the edits that build the tree, sorted by path and key. They are checked
// one by one only, so that a caller may apply them to another tree.
func ParseFile(data []byte) ([]*wire.Edit, error) {
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	var nodes map[string]map[string]any
	if err := d.Decode(&nodes); err != nil {
		return nil, fmt.Errorf("tree file: %w", err)
	}
	if _, err := d.Token(); err != io.EOF {
		return nil, fmt.Errorf("tree file: there is more after the tree, at byte %d", d.InputOffset())
	}
	var edits []*wire.Edit
	for path, node := range nodes {
		for key, raw := range node {
			value, err := valueText(raw)
			if err != nil {
				return nil, &InvalidError{Path: path, Key: key, Reason: err.Error()}
			}
			e := &wire.Edit{Path: path, Key: key, Value: value}
			if _, err := checkEdit(e); err != nil {
				return nil, err
			}
			edits = append(edits, e)
		}
	}
	slices.SortFunc(edits, func(a, b *wire.Edit) int {
		return strings.Compare(a.Path+"\x00"+a.Key, b.Path+"\x00"+b.Key)
	})
	return edits, nil
}

// valueText converts a JSON value to the text form of a setting.
func valueText(raw any) (string, error) {
	switch v := raw.(type) {
	case string:
		return v, nil
	case json.Number:
		return v.String(), nil
	case bool:
		return fmt.Sprint(v), nil
	case []any:
		items := make([]string, 0, len(v))
		for _, item := range v {
			text, ok := item.(string)
			if !ok {
				return "", fmt.Errorf("a list holds strings, not %v", item)
			}
			items = append(items, text)
		}
		return strings.Join(items, ","), nil
	}
	return "", fmt.Errorf("a value is a number, a boolean, a string or a list of strings")
}

// FormatFile encodes a tree as a tree file.
func FormatFile(t Tree) ([]byte, error) {
	nodes := make(map[string]map[string]any)
	for _, s := range t.Settings() {
		if nodes[s.Path] == nil {
			nodes[s.Path] = make(map[string]any)
		}
		nodes[s.Path][s.Key] = jsonValue(s)
	}
	data, err := json.MarshalIndent(nodes, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("writing a tree file: %w", err)
	}
	return append(data, '\n'), nil
}

func jsonValue(s *wire.Setting) any {
	k, _ := Lookup(s.Key)
	switch k.Kind {
	case Integer:
		return json.Number(s.Value)
	case Boolean:
		return s.Value == "true"
	case List:
		return splitList(s.Value)
	}
	return s.Value
}
