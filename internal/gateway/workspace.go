package gateway

import (
	"net/http"

	"ledgesill.dev/ledgesill/pkg/catalog"
)

// Reasons of responses to requests whose workspace is unknown or can't be served.
const (
	reasonNoKey      = "noKey"
	reasonUnknownKey = "unknownKey"
	reasonNoRegion   = "noRegionAllowed"
)

// authorizeWorkspace finds the workspace of a request and the regions that may serve it. It reports
// whether the request may proceed; if not, it has been answered. It is called before any of the
// body is read.
func (c *callerRequest) authorizeWorkspace() bool {
	key, given := c.workspaceKey()
	if given {
		c.workspace = c.routing.keys.Identify(key)
	}
	if c.workspace == nil && c.routing.keys.RequiresKey(c.route) {
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
	regions, ok := catalog.IntersectRegions(c.route.Regions, c.workspace.Regions)
	if !ok {
		// No target may run it until the routes document changes.
		c.refuse(reasonNoRegion, maxRoutesRetryAfter)
		return false
	}
	c.regions = regions
	return true
}

// workspaceKey returns the workspace key of the request. A request with several keys counts as one
// without a key.
func (c *callerRequest) workspaceKey() (key string, given bool) {
	values := c.request.Header[http.CanonicalHeaderKey(c.gateway.config.Protocol.WorkspaceKey)]
	if len(values) != 1 || values[0] == "" {
		return "", false
	}
	return values[0], true
}

// workspaceName returns the name of the request's workspace, or an empty string.
func (c *callerRequest) workspaceName() string {
	if c.workspace == nil {
		return ""
	}
	return c.workspace.Name
}

// deny answers a request that the active routes document does not allow. While the box has no
// contact with control, it can't know whether the request has been allowed meanwhile. A final
// denial would make its caller give up, so it is told to retry.
func (c *callerRequest) deny(status int, reason string) {
	if age := c.gateway.controlAge(); age > maxControlAge {
		c.refuse("routesMayBeOld", min(age, maxRoutesRetryAfter))
		return
	}
	c.fail(status, reason, nil)
}
