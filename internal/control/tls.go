package control

import (
	"crypto/tls"
	"net"
)

// tlsListener wraps a listener in TLS if it is configured. The configuration is fetched for every
// connection, so that keys can be renewed.
func tlsListener(l net.Listener, secure func() (*tls.Config, error)) net.Listener {
	if secure == nil {
		return l
	}
	return tls.NewListener(l, &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return secure()
		},
	})
}
