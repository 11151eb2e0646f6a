package settings

import (
	"fmt"
	"strings"
)

// Path identifies a node of the tree. Its text form is "/" for the defaults, "/region"
// or "/region/zone", with ":service" appended for a service there.
type Path struct {
	Region  string
	Zone    string
	Service string
}

// PathError says why a path is invalid.
type PathError struct {
	Path   string
	Reason string
}

// Error implements error.
func (e *PathError) Error() string { return fmt.Sprintf("path %q: %s", e.Path, e.Reason) }

// maxNameLength bounds names in the tree, and the part of a value that errors show.
const maxNameLength = 63

// ParsePath parses the text form of a path.
func ParsePath(text string) (Path, error) {
	rest, ok := strings.CutPrefix(text, "/")
	if !ok {
		return Path{}, &PathError{text, "it must begin with /"}
	}
	place, service, hasService := strings.Cut(rest, ":")
	p := Path{Service: service}
	if hasService {
		if err := checkName(service); err != nil {
			return Path{}, &PathError{text, err.Error()}
		}
	}
	if place == "" {
		return p, nil
	}
	parts := strings.Split(place, "/")
	if len(parts) > 2 {
		return Path{}, &PathError{text, "it has more than a region and an availability zone"}
	}
	for _, name := range parts {
		if err := checkName(name); err != nil {
			return Path{}, &PathError{text, err.Error()}
		}
	}
	p.Region = parts[0]
	if len(parts) == 2 {
		p.Zone = parts[1]
	}
	return p, nil
}

// String returns the text form.
func (p Path) String() string {
	s := "/" + p.Region
	if p.Zone != "" {
		s += "/" + p.Zone
	}
	if p.Service != "" {
		s += ":" + p.Service
	}
	return s
}

func checkName(name string) error {
	if name == "" || len(name) > maxNameLength {
		return fmt.Errorf("a name has 1 to %d characters, %q has %d", maxNameLength, name, len(name))
	}
	for _, c := range name {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		digit := c >= '0' && c <= '9'
		if !letter && !digit && c != '-' && c != '_' {
			return fmt.Errorf("name %q has %q; letters, digits, - and _ are allowed", name, c)
		}
	}
	return nil
}
