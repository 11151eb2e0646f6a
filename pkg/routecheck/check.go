package routecheck

import (
	"fmt"

	"ledgesill.dev/ledgesill/pkg/catalog"
)

// The rules of findings beyond those for which a document is invalid.
const (
	RuleHostTwice        catalog.Rule = "hostTwice"
	RuleHostPort         catalog.Rule = "hostPort"
	RuleHostName         catalog.Rule = "hostName"
	RuleHostEmpty        catalog.Rule = "hostWithoutRoutes"
	RulePrefixShadowed   catalog.Rule = "prefixShadowed"
	RulePrefixEnd        catalog.Rule = "prefixEnd"
	RuleWeightZero       catalog.Rule = "weightZero"
	RuleServiceUnused    catalog.Rule = "serviceUnused"
	RuleRegionsDisjoint  catalog.Rule = "regionsDisjoint"
	RuleKeyTwice         catalog.Rule = "keyTwice"
	RuleKeysMissing      catalog.Rule = "keysMissing"
	RuleTimeoutObjective catalog.Rule = "timeoutBelowObjective"
	RuleObjectiveMissing catalog.Rule = "objectiveMissing"
	RuleAttemptsTimeout  catalog.Rule = "attemptsExceedTimeout"
	RuleAttemptsMissing  catalog.Rule = "attemptsMissing"
	RuleBurstRate        catalog.Rule = "burstBelowRate"
	RuleBurstUnused      catalog.Rule = "burstWithoutRate"
	RuleColdRate         catalog.Rule = "coldRateZero"
	RuleColdTime         catalog.Rule = "coldTimeZero"
	RuleConnections      catalog.Rule = "connectionsZero"
)

// remedies say what to do about each rule of a valid document.
var remedies = map[catalog.Rule]string{
	catalog.RuleServiceName:    "Give the service a name.",
	catalog.RuleServiceTwice:   "Remove one of the two services, or rename it.",
	catalog.RulePrefixSlash:    "Begin the prefix with a slash.",
	catalog.RulePrefixTwice:    "Remove one of the two routes, or change its prefix.",
	catalog.RuleTimeoutRange:   "Set a timeout within this range.",
	catalog.RuleServiceUnknown: "Add the service to the list of services, or correct its name here.",
	catalog.RuleWeightNegative: "Set a weight of 0 or more.",
	catalog.RuleWeightSum:      "Give the route at least one destination with a weight above 0.",
	catalog.RuleWorkspaceName:  "Give the workspace a name.",
	catalog.RuleWorkspaceText:  "Remove the control character from the name.",
	catalog.RuleWorkspaceTwice: "Merge the two workspaces, or rename one of them.",
	catalog.RuleRateRange:      "Set a rate of 0 (no limit) or more.",
	catalog.RuleBurstRange:     "Set a burst of 0 or more.",
	catalog.RuleKeyEmpty:       "Remove the empty key.",
	catalog.RuleKeyRedacted:    "Insert the key itself: the document as it was written is shown by ledgesill routes -text.",
	catalog.RuleKeyShared:      "Remove the key from all workspaces but one.",
}

// checker collects the findings of one document.
type checker struct {
	document catalog.Document
	findings []Finding
}

// Check returns all findings of a document on its own, errors first. There are errors if and
// only if Document.Check returns one.
func Check(d catalog.Document) []Finding {
	c := &checker{document: d}
	for err := range d.Errors() {
		c.add(Error, err.Rule, placeOfError(d, err), remedies[err.Rule], "%s", err.Reason)
	}
	c.checkHosts()
	for i, h := range d.Hosts {
		for j, r := range h.Routes {
			c.checkRoute(placeOfRoute(d, i, j), r)
		}
	}
	c.checkRegions()
	c.checkServices()
	c.checkWorkspaces()
	Sort(c.findings)
	return c.findings
}

func (c *checker) add(s Severity, rule catalog.Rule, p Place, remedy, format string, args ...any) {
	c.findings = append(c.findings, Finding{s, rule, p, fmt.Sprintf(format, args...), remedy})
}

// placeOfError returns the place of an error of a document.
func placeOfError(d catalog.Document, err *catalog.InvalidError) Place {
	switch err.Rule {
	case catalog.RuleServiceName, catalog.RuleServiceTwice:
		return placeOfService(d, err.Index)
	case catalog.RulePrefixSlash, catalog.RulePrefixTwice, catalog.RuleTimeoutRange,
		catalog.RuleServiceUnknown, catalog.RuleWeightNegative, catalog.RuleWeightSum:
		return placeOfRoute(d, err.Host, err.Index)
	}
	return placeOfWorkspace(d, err.Index)
}
