package control

import (
	"slices"
	"sync"

	"ledgesill.dev/ledgesill/pkg/catalog"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// documentInForce reads the document of routes that a state holds, each once.
type documentInForce struct {
	decode func(text []byte) (catalog.Document, error)
	failed func(number uint64, err error)
	mu     sync.Mutex
	text   *wire.RoutesDocument
	last   catalog.Document
	err    error
}

// read returns a document. One that can't be read is told of once.
func (f *documentInForce) read(text *wire.RoutesDocument) (catalog.Document, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if text == f.text {
		return f.last, f.err
	}
	f.text = text
	f.last, f.err = f.decode(text.GetText())
	if f.err != nil {
		f.failed(text.GetNumber(), f.err)
	}
	return f.last, f.err
}

// checkService reports a service that the document in force does not have. Before
// there is one, or where it can't be read, any service may be named.
func (f *documentInForce) checkService(text *wire.RoutesDocument, name string) error {
	if text == nil {
		return nil
	}
	d, err := f.read(text)
	if err != nil {
		return nil // told of by read
	}
	if slices.ContainsFunc(d.Services, func(s catalog.Service) bool { return s.Name == name }) {
		return nil
	}
	return &UnknownServiceError{Service: name, DocumentNumber: d.Number}
}

func (d *Daemon) logUnreadDocument(number uint64, err error) {
	d.process.Log.Error().Str("kind", "routes").Uint64("number", number).Err(err).
		Msg("can't read the document of routes; the limits and services before stay in force")
}
