package gateway

import (
	"net/http"

	"ledgesill.dev/ledgesill/pkg/catalog"
)

// Reasons of answers to requests whose workspace is not known or not served.
const (
	reasonNoKey      = "noKey"
	reasonUnknownKey = "unknownKey"
	reasonNoRegion   = "noRegionAllowed"
)

// identify finds the workspace of a request and the regions that may serve it. It
// reports whether the request may go on; if not, it has been answered. Nothing of
// its body has been read by then.
func (c *call) identify() bool {
	key, given := c.keyOfWorkspace()
	if given {
		c.workspace = c.rules.keys.Identify(key)
	}
	if c.workspace == nil && c.rules.keys.Requires(c.route) {
		reason := reasonNoKey
		if given {
			reason = reasonUnknownKey
		}
		c.deny(http.StatusUnauthorized, reason)
		return false
	}
	c.regions = c.route.Regions
	if c.workspace == nil {
		return true
	}
	regions, ok := catalog.NarrowRegions(c.route.Regions, c.workspace.Regions)
	if !ok {
		// No target may run it until the document changes.
		c.refuse(reasonNoRegion, longestRoutesWait)
		return false
	}
	c.regions = regions
	return true
}

// keyOfWorkspace returns the key of the request. One that carries several
// carries none.
func (c *call) keyOfWorkspace() (key string, given bool) {
	values := c.request.Header[http.CanonicalHeaderKey(c.gateway.config.Protocol.WorkspaceKey)]
	if len(values) != 1 || values[0] == "" {
		return "", false
	}
	return values[0], true
}

// workspaceName is empty where the request has no workspace.
func (c *call) workspaceName() string {
	if c.workspace == nil {
		return ""
	}
	return c.workspace.Name
}

// deny answers a request that the document in force does not allow. A box without
// word of control can't tell it from one that was allowed meanwhile: its caller
// would give up for good, so it is told to come back.
func (c *call) deny(status int, reason string) {
	if age := c.gateway.controlAge(); age > staleAfter {
		c.refuse("routesMayBeOld", min(age, longestRoutesWait))
		return
	}
	c.fail(status, reason, nil)
}
