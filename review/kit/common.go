package main

import (
	"net"
	"net/http"
	"time"
)

// startCore starts three machines with a disk, one in each zone, with both roles on each.
func startCore(p *platform, memoryMB int) ([]*machine, error) {
	var core []*machine
	for _, zone := range []string{"a", "b", "c"} {
		core = append(core, p.machine("edge-"+zone+"-1", zone, true, memoryMB))
	}
	for _, m := range core {
		m.seeds, m.bootstrap = seedsOf(core...), true
		if err := startRoles(p, m); err != nil {
			return nil, err
		}
	}
	for _, m := range core {
		m.bootstrap = false // of all later starts
	}
	return core, nil
}

// startRoles starts both roles on a machine.
func startRoles(p *platform, m *machine) (err error) {
	if m.coordinator, err = p.start(m, "coordinator"); err != nil {
		return err
	}
	m.gateway, err = p.start(m, "gateway")
	return err
}

// isReady reports whether the gateway of a machine answers its readiness check with 200.
func isReady(m *machine) bool {
	c := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + net.JoinHostPort(m.ip, "8220") + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// waitFor waits until a condition holds and reports whether it did within a time.
func waitFor(within time.Duration, condition func() bool) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}
