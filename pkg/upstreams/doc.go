// Package upstreams speaks the HTTP protocol between an agent and the engine
// or service beside it: the client side of generation, stages, orders and
// service calls, and the receiver of announcements, load reports and cache
// events. docs/protocol-upstreams.md gives the shapes, units and errors.
package upstreams
