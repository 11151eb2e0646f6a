package link

import (
	"context"
	"net"
)

// Network opens listeners and connections. Tests replace its functions by those
// of a simulated network.
type Network struct {
	Listen func(address string) (net.Listener, error)
	Dial   func(ctx context.Context, address string) (net.Conn, error)
}

// TCP returns the operating system's network.
func TCP() Network {
	return Network{
		Listen: func(address string) (net.Listener, error) { return net.Listen("tcp", address) },
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			var d net.Dialer
			return d.DialContext(ctx, "tcp", address)
		},
	}
}
