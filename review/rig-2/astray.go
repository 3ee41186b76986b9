//go:build review2

package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/vanetiller/vanetiller/internal/segment"
)

func init() { cases["astray"] = astray }

const (
	// misroute is the span of the rule on flows, and misroutedPackets how many packets of a flow may not
	// reach other endpoints within it while none reaches its own.
	misroute         = 2 * time.Second
	misroutedPackets = 3
	// rollGap is the time between two machines of a roll_term.
	rollGap = 1300 * time.Millisecond
	// keptFlows is the number of flows that the clients keep open.
	keptFlows = 150
)

// arrival is a packet of a client that came to an endpoint.
type arrival struct {
	at       time.Time
	endpoint *endpoint
}

// astray plays planned work only: one endpoint leaves, the machines beside the others are stopped and
// started in turn, then one balancer is. Clients go on in flows that they have kept open.
func astray(r *rig) bool {
	const machines = 9
	r.balancers = 3
	r.store.put(wire["configuration-key"], configuration(10, 14, keptRoute))
	var endpoints []*endpoint
	var agents []*process
	for number := range machines {
		agents = append(agents, r.startAgent(number, "huvo11a", true))
		e := r.startEndpoint(fmt.Sprintf("i-%08d", number), "huvo11a", number)
		e.publish("ready")
		endpoints = append(endpoints, e)
	}
	var balancers []*process
	for number := range r.balancers {
		balancers = append(balancers, r.startBalancer(number, true))
	}
	for number := range r.balancers {
		r.awaitReady(number)
	}
	routes := r.startRouter()
	time.Sleep(4 * time.Second)

	leaving := endpoints[0]
	leaving.publish("draining")
	time.Sleep(drainBound + 500*time.Millisecond)
	r.store.remove("servers/" + leaving.id)
	leaving.socket.Close()
	r.signal(agents[0], syscall.SIGTERM)
	r.log("endpoint %s has drained and ended", leaving.id)
	<-agents[0].done

	var mutex sync.Mutex
	arrivals := make(map[segment.FlowKey][]arrival)
	r.onPacket = func(e *endpoint, key segment.FlowKey) {
		mutex.Lock()
		defer mutex.Unlock()
		arrivals[key] = append(arrivals[key], arrival{time.Now(), e})
	}
	caller := r.startClient(0)
	var flows []*flow
	owners := make(map[segment.FlowKey]*endpoint)
	for range keptFlows {
		var opened *flow
		var result outcome
		opened, result = caller.openRouted(keptRoute, routes)
		if result != answered {
			panic("the system does not serve before the case begins")
		}
		id, _, result := opened.request(2500 * time.Millisecond)
		if result != answered {
			panic("the system does not serve before the case begins")
		}
		r.mutex.Lock()
		owners[opened.key] = r.runs[id][0]
		r.mutex.Unlock()
		flows = append(flows, opened)
	}
	r.log("%d flows are open", len(flows))

	var rolled sync.WaitGroup
	rollStart := time.Now()
	if r.trouble {
		for number := 1; number < machines; number++ {
			rolled.Go(func() {
				time.Sleep(time.Duration(number-1) * rollGap)
				r.signal(agents[number], syscall.SIGTERM)
				<-agents[number].done
				time.Sleep(restartDelay)
				r.startAgent(number, "huvo11a", false)
			})
		}
	}
	time.Sleep(time.Until(rollStart.Add(3 * time.Second)))
	for _, result := range callAll(r, flows, time.Second) {
		if result != answered {
			panic("the system does not serve while the machines are stopped in turn")
		}
	}
	r.log("a request was answered in each flow")
	time.Sleep(time.Until(rollStart.Add(13 * time.Second)))
	const stopped = 0
	rolled.Go(func() {
		r.signal(balancers[stopped], syscall.SIGTERM)
		<-balancers[stopped].done
		time.Sleep(restartDelay)
		r.startBalancer(stopped, false)
	})
	time.Sleep(1200 * time.Millisecond)
	unanswered := 0
	for _, result := range callAll(r, flows, 1500*time.Millisecond) {
		if result != answered {
			unanswered++
		}
	}
	rolled.Wait()
	time.Sleep(500 * time.Millisecond)

	mutex.Lock()
	defer mutex.Unlock()
	broken := 0
	for _, each := range flows {
		strays := misroutedWithin(arrivals[each.key], owners[each.key])
		if strays < misroutedPackets {
			continue
		}
		broken++
		r.log("flow of %s, owned by endpoint %s, primary balancer-%d: %d packets reached other endpoints within %s, and none its own",
			each.key.Client, owners[each.key].id, routes.primary(each.key), strays, misroute)
		for _, packet := range arrivals[each.key] {
			r.log("    at %.3f s: endpoint %s", packet.at.Sub(r.began).Seconds(), packet.endpoint.id)
		}
	}
	r.log("%d of %d flows broke the rule; %d of their requests were not answered within 5 s", broken, len(flows), unanswered)
	return broken == 0
}

// callAll sends a request in each flow, spread over a time, and returns how they ended.
func callAll(r *rig, flows []*flow, spread time.Duration) []outcome {
	results := make([]outcome, len(flows))
	var calls sync.WaitGroup
	for index, each := range flows {
		calls.Go(func() {
			time.Sleep(time.Duration(index) * spread / time.Duration(len(flows)))
			id, _, result := each.request(5 * time.Second)
			results[index] = result
			if result != answered {
				r.log("request %s in the flow of %s: %s", id, each.key.Client, result)
			}
		})
	}
	calls.Wait()
	return results
}

// misroutedWithin returns the largest number of packets that reached other endpoints within a span of
// misroute in which none reached the owner.
func misroutedWithin(arrivals []arrival, owner *endpoint) int {
	most := 0
	for first := range arrivals {
		count := 0
		for _, each := range arrivals[first:] {
			if each.at.Sub(arrivals[first].at) > misroute {
				break
			}
			if each.endpoint == owner {
				count = 0
				break
			}
			count++
		}
		most = max(most, count)
	}
	return most
}

// openRouted opens a flow whose packets take the way that the router chooses.
func (c *client) openRouted(route segment.Address, routes *router) (*flow, outcome) {
	var opened *flow
	f, result := c.open(route, func() int {
		if opened == nil {
			return 0
		}
		return routes.route(opened.key)
	}, func(created *flow) { opened = created })
	return f, result
}
