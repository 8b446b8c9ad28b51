package load

import (
	"context"
	"net"
	"slices"
)

// dialNextEntry connects to the address asked for, or else to the entries that
// follow it, as the load balancer in front of the entries does.
func dialNextEntry(entries []string) func(context.Context, string, string) (net.Conn, error) {
	var dialer net.Dialer
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		start := slices.Index(entries, address) + 1
		for i := 0; err != nil && i < len(entries)-1 && ctx.Err() == nil; i++ {
			conn, err = dialer.DialContext(ctx, network, entries[(start+i)%len(entries)])
		}
		return conn, err
	}
}
