package control

import (
	"slices"
	"time"

	"ledgesill.dev/ledgesill/internal/lockorder"
	"ledgesill.dev/ledgesill/pkg/catalog"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// routesDecoder decodes the routes document of a state and caches the last one.
type routesDecoder struct {
	decode  func(text []byte) (catalog.Document, error)
	onError func(number uint64, err error)
	mu      lockorder.Mutex
	source  *wire.RoutesDocument
	decoded catalog.Document
	err     error
}

// decodeOnce returns the decoded document. It calls onError once for a document that can't be
// decoded.
func (r *routesDecoder) decodeOnce(document *wire.RoutesDocument) (catalog.Document, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if document == r.source {
		return r.decoded, r.err
	}
	r.source = document
	r.decoded, r.err = r.decode(document.GetText())
	if r.err != nil {
		r.onError(document.GetNumber(), r.err)
	}
	return r.decoded, r.err
}

// checkService reports a service that the active routes document does not define. Any service is
// accepted if there is no document or it can't be decoded.
func (r *routesDecoder) checkService(document *wire.RoutesDocument, name string) error {
	if document == nil {
		return nil
	}
	d, err := r.decodeOnce(document)
	if err != nil {
		return nil // logged by decodeOnce
	}
	if slices.ContainsFunc(d.Services, func(s catalog.Service) bool { return s.Name == name }) {
		return nil
	}
	return &UnknownServiceError{Service: name, DocumentNumber: d.Number}
}

// longestObjective returns the longest latency objective of the routes to a service, and whether the
// document lacks the service.
func (r *routesDecoder) longestObjective(document *wire.RoutesDocument, service string) (longest time.Duration, removed bool) {
	d, err := r.decodeOnce(document)
	if document == nil || err != nil {
		return 0, false // logged by decodeOnce
	}
	for _, h := range d.Hosts {
		for _, route := range h.Routes {
			if slices.ContainsFunc(route.Destinations, func(to catalog.Destination) bool { return to.Service == service }) {
				longest = max(longest, route.Objective)
			}
		}
	}
	_, known := d.Service(service)
	return longest, !known
}

func (d *Daemon) logInvalidRoutes(number uint64, err error) {
	d.process.Log.Error().Str("kind", "routes").Uint64("number", number).Err(err).
		Msg("cannot decode the routes document; the previous limits and services stay in effect")
}
