package link

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"ledgesill.dev/ledgesill/internal/config"
	"ledgesill.dev/ledgesill/pkg/timeline"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// authority is a certificate authority for a test.
type authority struct {
	t           *testing.T
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	a := &authority{t: t}
	a.certificate, a.key = a.sign(&x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	})
	return a
}

func (a *authority) sign(template *x509.Certificate) (*x509.Certificate, *ecdsa.PrivateKey) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	parent, signer := a.certificate, a.key
	if parent == nil {
		parent, signer = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		a.t.Fatal(err)
	}
	c, err := x509.ParseCertificate(der)
	if err != nil {
		a.t.Fatal(err)
	}
	return c, key
}

// issue writes the certificate files of a process into a directory.
func (a *authority) issue(dir string, notAfter time.Time) config.Common {
	c, key := a.sign(&x509.Certificate{
		SerialNumber: big.NewInt(2), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: notAfter,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	})
	der, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	out := config.Common{
		Certificate: filepath.Join(dir, "certificate"), CertificateKey: filepath.Join(dir, "key"), Authority: filepath.Join(dir, "authority"),
	}
	for path, block := range map[string]*pem.Block{
		out.Certificate:    {Type: "CERTIFICATE", Bytes: c.Raw},
		out.CertificateKey: {Type: "EC PRIVATE KEY", Bytes: der},
		out.Authority:      {Type: "CERTIFICATE", Bytes: a.certificate.Raw},
	} {
		if err := os.WriteFile(path, pem.EncodeToMemory(block), 0o600); err != nil {
			a.t.Fatal(err)
		}
	}
	return out
}

func TestInvalidCertificatesAreRefused(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	serverFiles := ours.issue(t.TempDir(), time.Now().Add(time.Hour))
	secure, err := serverFiles.TLS()
	if err != nil {
		t.Fatal(err)
	}
	clock := timeline.NewClock(time.Now)
	refused := make(chan error, 16)
	handlers := Handlers{
		Call:    func(context.Context, string, *wire.CallRequest) *wire.CallAnswer { return &wire.CallAnswer{} },
		Refused: func(_ string, err error) { refused <- err },
	}
	server, err := Listen(TCP(), "127.0.0.1:0", Identity{Name: "server"}, clock, handlers, secure)
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	address := server.listener.Addr().String()
	call := func(files config.Common) error {
		secure, err := files.TLS()
		if err != nil {
			t.Fatal(err)
		}
		n := NewClient(Identity{Name: "client"}, clock, secure)
		defer n.Close()
		_, err = n.Call(t.Context(), address, &wire.CallRequest{})
		return err
	}
	dir := t.TempDir()
	if err := call(ours.issue(dir, time.Now().Add(time.Hour))); err != nil {
		t.Errorf("a valid certificate was refused: %v", err)
	}
	for name, files := range map[string]config.Common{
		"expired":              ours.issue(t.TempDir(), time.Now().Add(-time.Minute)),
		"of another authority": theirs.issue(t.TempDir(), time.Now().Add(time.Hour)),
		"none":                 {},
	} {
		if err := call(files); err == nil {
			t.Errorf("certificate %s: accepted, want it refused", name)
		}
		if <-refused == nil {
			t.Errorf("certificate %s: Refused was not called", name)
		}
	}
	// The server's files are renewed in place, without a restart.
	ours.issue(filepath.Dir(serverFiles.Certificate), time.Now().Add(-time.Minute))
	if err := call(ours.issue(dir, time.Now().Add(time.Hour))); err == nil {
		t.Error("the server's expired certificate was accepted")
	}
	ours.issue(filepath.Dir(serverFiles.Certificate), time.Now().Add(time.Hour))
	if err := call(ours.issue(dir, time.Now().Add(time.Hour))); err != nil {
		t.Errorf("after the server's certificate was renewed: %v", err)
	}
}

func TestAuthorityFileWithoutCertificateIsRefused(t *testing.T) {
	files := newAuthority(t).issue(t.TempDir(), time.Now().Add(time.Hour))
	if err := os.WriteFile(files.Authority, []byte("no certificate"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := files.TLS(); err == nil {
		t.Error("an authority without a certificate was accepted")
	}
}
