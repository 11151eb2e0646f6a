package routecheck

import (
	"fmt"
	"strings"

	"ledgesill.dev/ledgesill/pkg/catalog"
)

// checkHosts finds hosts and prefixes that never match.
func (c *checker) checkHosts() {
	// first holds the first entry of each host, owners the entry whose route has a prefix.
	first := make(map[string]int, len(c.document.Hosts))
	owners := make(map[string]map[string]int, len(c.document.Hosts))
	for i, h := range c.document.Hosts {
		place, name := placeOfHost(c.document, i), catalog.FoldHost(h.Name)
		c.checkHostName(place, h)
		earlier, isRepeated := first[name]
		if !isRepeated {
			first[name] = i
			owners[name] = make(map[string]int, len(h.Routes))
		} else {
			c.add(Warning, RuleHostTwice, place, "Write the routes of both entries into one.",
				"the host is also listed as %s (no. %d); the case of letters makes no difference", display(c.document.Hosts[earlier].Name), earlier+1)
		}
		for j, r := range h.Routes {
			owner, isOwned := owners[name][r.Prefix]
			if isOwned && owner != i { // within one entry it is an error
				c.add(Warning, RulePrefixShadowed, placeOfRoute(c.document, i, j), "Remove one of the two routes, or change its prefix.",
					"it never matches, because entry %s (no. %d) of the same host has prefix %q too", display(c.document.Hosts[owner].Name), owner+1, r.Prefix)
			}
			if !isOwned {
				owners[name][r.Prefix] = i
			}
		}
	}
}

func (c *checker) checkHostName(p Place, h catalog.Host) {
	switch {
	case h.Name == "":
		c.add(Warning, RuleHostName, p, "Give the host a name.", "the host has no name, and only requests without a host match it")
	case strings.Contains(h.Name, ":") && !strings.HasSuffix(h.Name, "]"):
		c.add(Warning, RuleHostPort, p, "Write the host without a port.", "it never matches, because the port is cut off the host of a request")
	}
	if len(h.Routes) == 0 {
		c.add(Warning, RuleHostEmpty, p, "Add a route, or remove the host.", "the host has no routes")
	}
}

// checkRegions finds routes that workspaces can't use because no region is allowed to both. That
// includes public routes, whose requests are refused too if they have a key of the workspace.
func (c *checker) checkRegions() {
	// disjoint caches the workspaces by the regions of a route: many routes have the same.
	disjoint := make(map[string][]string)
	for i, h := range c.document.Hosts {
		for j, r := range h.Routes {
			if len(r.Regions) == 0 {
				continue
			}
			key := strings.Join(r.Regions, "\x00")
			names, isCached := disjoint[key]
			if !isCached {
				names = c.disjointWorkspaces(r.Regions)
				disjoint[key] = names
			}
			if len(names) > 0 {
				c.add(Warning, RuleRegionsDisjoint, placeOfRoute(c.document, i, j), "Allow a region to both, or leave it if these workspaces are not to use the route.",
					"no region is allowed both to the route (%s) and to %s: their requests are refused", listNames(r.Regions), describeWorkspaces(names))
			}
		}
	}
}

func (c *checker) disjointWorkspaces(regions []string) (names []string) {
	for _, w := range c.document.Workspaces {
		if _, ok := catalog.IntersectRegions(regions, w.Regions); !ok {
			names = append(names, w.Name)
		}
	}
	return names
}

// maxListedNames bounds the names in one finding, so that it stays readable.
const maxListedNames = 3

func describeWorkspaces(names []string) string {
	if len(names) > maxListedNames {
		return fmt.Sprintf("workspaces %s and %d more", listNames(names[:maxListedNames]), len(names)-maxListedNames)
	}
	if len(names) == 1 {
		return "workspace " + display(names[0])
	}
	return "workspaces " + listNames(names)
}

func listNames(names []string) string {
	shown := make([]string, len(names))
	for i, name := range names {
		shown[i] = display(name)
	}
	return strings.Join(shown, ", ")
}

// checkServices finds services that serve nothing, and their limits that contradict each other.
func (c *checker) checkServices() {
	used := make(map[string]bool, len(c.document.Services))
	for _, h := range c.document.Hosts {
		for _, r := range h.Routes {
			for _, d := range r.Destinations {
				used[d.Service] = true
			}
		}
	}
	for i, s := range c.document.Services {
		place := placeOfService(c.document, i)
		if !used[s.Name] {
			c.add(Warning, RuleServiceUnused, place, "Add it to a route, or remove it.", "no route uses the service")
		}
		c.checkServiceLimits(place, s)
	}
}
