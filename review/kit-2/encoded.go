package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["encoded"] = matchEncoded }

const (
	deskCount = 3
	// encodedRequests are sent after the change.
	encodedRequests = 20
	// workTime is the time that a server takes for an order.
	workTime = 30 * time.Millisecond
)

// desk is a stand-in for a server of a plain service that runs orders.
type desk struct {
	*server
	mu   sync.Mutex
	runs map[string]int // by the id of the order
}

func (p *play) startDesk(n int, service, zone string, nodes []machine) *desk {
	d := &desk{server: p.newServer(n, service, zone, 6, nodes), runs: make(map[string]int)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Instance-Id", d.id) })
	mux.HandleFunc("/", d.run)
	d.serve(mux)
	return d
}

// run carries an order out.
func (d *desk) run(w http.ResponseWriter, r *http.Request) {
	if d.misdirected(w, r) {
		return
	}
	id := r.Header.Get("Request-Id")
	time.Sleep(workTime)
	d.mu.Lock()
	d.runs[id]++
	d.mu.Unlock()
	d.play.note("%s of service %s runs %s %s %s", d.id, d.service, r.Method, r.RequestURI, id)
	w.Header().Set("Request-Id", id)
	w.Header().Set("Server-Signature", d.id+"."+id)
	_, _ = w.Write([]byte(strings.Repeat("x", 800)))
}

func (d *desk) ran(id string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.runs[id]
}

// encodedConfig returns a configuration with a route for all paths, and with one for the paths
// that begin with /look/ if added is set.
func encodedConfig(version int, added bool) []byte {
	route := func(name, prefix, service string) string {
		return fmt.Sprintf(`{"name":%q,"host":"a.example","pathPrefix":%q,"kind":"unsafe","timeoutMs":2500,"targetLatencyMs":150,"priority":0,"service":%q,"maxAttempts":1,"public":true,"sticky":false,"resumable":false}`, name, prefix, service)
	}
	service := func(name string) string {
		return fmt.Sprintf(`{"name":%q,"healthPath":"/healthz","maxConnections":260,"protocol":"h1","tls":false}`, name)
	}
	routes := route("r-1", "/", "desk")
	if added {
		routes += "," + route("r-2", "/look/", "look")
	}
	return fmt.Appendf(nil, `{"version":%d,"routes":[%s],"services":[%s,%s],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[]}`,
		version, routes, service("desk"), service("look"))
}

// matchEncoded adds a route for /look/ and sends requests for /look%2Fx, which no prefix but
// that of the first route begins. No server of the other service may run them.
func matchEncoded(p *play) bool {
	nodes := []machine{p.machine(2, "kl-a", true), p.machine(3, "kl-b", true), p.machine(4, "kl-c", true)}
	for _, m := range nodes {
		p.start("coordinator", m, nodes, true)
	}
	front := p.machine(6, "kl-a", false)
	p.start("gateway", front, nodes, false)
	if p.putConfig(nodes, 1, encodedConfig(1, false), 15*time.Second) == "" {
		cannotRun("the configuration is not acknowledged")
	}
	var desks, looks []*desk
	for i := range deskCount {
		zone := []string{"kl-a", "kl-b", "kl-c"}[i]
		desks = append(desks, p.startDesk(100+i, "desk", zone, nodes))
		looks = append(looks, p.startDesk(110+i, "look", zone, nodes))
	}
	time.Sleep(contact + 2*beatMs*time.Millisecond)
	if p.trouble && p.putConfig(nodes, 2, encodedConfig(2, true), 4*time.Second) == "" {
		cannotRun("the second configuration is not acknowledged")
	}
	time.Sleep(contact) // more than configApplyMs
	c := &client{play: p, address: p.address(front, portFront)}
	defer c.close()
	right, wrong := 0, 0
	for range encodedRequests {
		o := c.do("POST", "/look%2Fx", "a.example", newRequestID(), nil, "order", 2500*time.Millisecond)
		p.note("the client gets %d for POST /look%%2Fx %s", o.status, o.id)
		for i := range deskCount {
			right += desks[i].ran(o.id)
			wrong += looks[i].ran(o.id)
		}
	}
	p.note("%d of %d requests were run by service desk, %d by service look", right, encodedRequests, wrong)
	if right+wrong == 0 {
		cannotRun("no request has run")
	}
	return wrong == 0
}
