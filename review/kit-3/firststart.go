package main

import "time"

// firstStart starts a new deployment, in which one machine of the core loses its disk within the
// first second and is back at its old address a second later.
func firstStart(c *cluster, trouble bool, delay time.Duration) (int, error) {
	var core, gateways []*node
	for _, z := range zones {
		core = append(core, c.add("coordinator", z, true))
	}
	for _, z := range zones {
		gateways = append(gateways, c.add("gateway", z, false))
	}
	for _, n := range core {
		c.seeds = append(c.seeds, c.address(n, "control"))
	}
	lost := core[2]
	if delay == 0 {
		delay = 250 * time.Millisecond
	}
	starts := []struct {
		after time.Duration
		node  *node
	}{{0, core[0]}, {100 * time.Millisecond, lost}, {150 * time.Millisecond, gateways[0]}, {200 * time.Millisecond, gateways[1]}, {250 * time.Millisecond, gateways[2]}, {290 * time.Millisecond, core[1]}}
	begin := time.Now()
	killed := make(chan error, 1)
	for _, s := range starts {
		time.Sleep(time.Until(begin.Add(s.after)))
		if err := s.node.start(); err != nil {
			return exitNotRun, err
		}
		if s.node == lost {
			go func() {
				if !trouble {
					killed <- nil
					return
				}
				time.Sleep(delay - s.after)
				lost.kill()
				c.rec.add("%s has lost its disk", lost.name)
				err := lost.wipe()
				time.Sleep(time.Second)
				lost.bootstrap = false
				if err == nil {
					err = lost.start()
				}
				killed <- err
			}()
		}
	}
	if err := <-killed; err != nil {
		return exitNotRun, err
	}
	for _, n := range core {
		n.bootstrap = false
	}
	s, err := startServer("i-1", "desk", "z-a", c.subnet+".100", core, c.rec)
	if err != nil {
		return exitNotRun, err
	}
	defer s.stop()
	// Everything is up. Service may be suspended for recoveryS from here; five times that is
	// allowed.
	op := &operator{nodes: core, rec: c.rec}
	acked := op.put(configuration(1), 5*recoveryS*time.Second)
	c.rec.add("the first configuration was acknowledged: %v", acked)
	time.Sleep(2 * beatMs * time.Millisecond)
	cl, served := &client{rec: c.rec}, 0
	for i := range 20 {
		if cl.get(gateways[i%len(gateways)], "/look/1") == 200 {
			served++
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.rec.add("%d of 20 requests were served", served)
	if acked && served >= 5 {
		return exitHeld, nil
	}
	return exitBroken, nil
}
