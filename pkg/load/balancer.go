package load

import (
	"context"
	"net"
	"slices"
)

// dialNextEntry returns a dial function that connects to the given address and,
// if that fails, tries the entries after it in the list, as a load balancer in
// front of the entries does.
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
