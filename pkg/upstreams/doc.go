// Package upstreams implements the HTTP protocol between an agent and the
// upstream on its host, which is an inference engine or a service. Client sends
// generations, pipeline stages, orders and service calls to the upstream;
// NewReceiver serves the announcements, load reports and cache events that the
// upstream sends. docs/protocol-upstreams.md describes messages, units and
// errors.
package upstreams
