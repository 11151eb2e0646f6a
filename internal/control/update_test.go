package control

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/kataras/iris/v12"

	"ledgesill.dev/ledgesill/internal/config"
	"ledgesill.dev/ledgesill/pkg/catalog"
	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// Guards against an update for a service that is not in the document, which used to take over the
// address of a working target and remove it, and against an update with a start time in the
// future, which would block the target's own updates until then.
func TestWordsThatNameNothingUsableAreRefused(t *testing.T) {
	d := &Daemon{routes: &routesDecoder{
		decode: func([]byte) (catalog.Document, error) {
			return catalog.Document{Number: 1, Services: []catalog.Service{{Name: "s"}}}, nil
		},
		onError: func(uint64, error) {},
	}}
	empty := steering.State{}
	state, _ := empty.Apply(&wire.Command{Routes: &wire.RoutesCommand{Document: &wire.RoutesDocument{Number: 1, Text: []byte("x")}}})
	check := func(s steering.State, r *wire.Registration, leave bool) error {
		return d.checkUpdate(s, &wire.RegistrationCommand{Registration: r, Leave: leave})
	}
	var service *UnknownServiceError
	if err := check(state, &wire.Registration{Id: "i", Service: "none"}, false); !errors.As(err, &service) {
		t.Errorf("an unknown service: %v", err)
	}
	var future *FutureStartError
	ahead := time.Now().Add(2 * maxStartAhead).UnixMilli()
	if err := check(state, &wire.Registration{Id: "i", Service: "s", BornUnixMilli: ahead}, false); !errors.As(err, &future) {
		t.Errorf("a start that lies ahead: %v", err)
	}
	for name, err := range map[string]error{
		"a known service":     check(state, &wire.Registration{Id: "i", Service: "s", BornUnixMilli: time.Now().UnixMilli()}, false),
		"before any document": check(empty, &wire.Registration{Id: "i", Service: "none"}, false),
		"a leave":             check(state, &wire.Registration{Id: "i"}, true),
	} {
		if err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// The original text of the document contains the keys of workspaces and used to be sent to anyone
// who could reach the operators' address.
func TestDocumentWithKeysNeedsTheToken(t *testing.T) {
	d := &Daemon{config: config.Control{Token: "secret"}}
	app := iris.New()
	d.addCatalogHandlers(app)
	if err := app.Build(); err != nil {
		t.Fatal(err)
	}
	w := httptest.NewRecorder()
	app.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/routes?text=true", nil))
	if w.Code != http.StatusUnauthorized {
		t.Errorf("without the token: status %d", w.Code)
	}
}
