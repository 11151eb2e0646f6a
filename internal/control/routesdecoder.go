package control

import (
	"slices"
	"sync"

	"ledgesill.dev/ledgesill/pkg/catalog"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// routesDecoder reads the document of routes that a state holds, each once.
type routesDecoder struct {
	decode  func(text []byte) (catalog.Document, error)
	onError func(number uint64, err error)
	mu      sync.Mutex
	source  *wire.RoutesDocument
	decoded catalog.Document
	err     error
}

// decodeOnce returns a document. One that can't be decodeOnce is told of once.
func (f *routesDecoder) decodeOnce(text *wire.RoutesDocument) (catalog.Document, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if text == f.source {
		return f.decoded, f.err
	}
	f.source = text
	f.decoded, f.err = f.decode(text.GetText())
	if f.err != nil {
		f.onError(text.GetNumber(), f.err)
	}
	return f.decoded, f.err
}

// checkService reports a service that the document in force does not have. Before
// there is one, or where it can't be read, any service may be named.
func (f *routesDecoder) checkService(text *wire.RoutesDocument, name string) error {
	if text == nil {
		return nil
	}
	d, err := f.decodeOnce(text)
	if err != nil {
		return nil // told of by read
	}
	if slices.ContainsFunc(d.Services, func(s catalog.Service) bool { return s.Name == name }) {
		return nil
	}
	return &UnknownServiceError{Service: name, DocumentNumber: d.Number}
}

func (d *Daemon) logInvalidRoutes(number uint64, err error) {
	d.process.Log.Error().Str("kind", "routes").Uint64("number", number).Err(err).
		Msg("can't read the document of routes; the limits and services before stay in force")
}
