//go:build review

package main

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/vanetiller/vanetiller/internal/segment"
)

// begin starts the store, the endpoints with their agents, the balancers, the router and the client,
// and waits until all balancers are ready.
func (d *deployment) begin(ctx context.Context, balancers int, services ...string) error {
	for balancer := range balancers {
		if err := d.serveStore(ctx, balancer); err != nil {
			return err
		}
	}
	var known []string
	for _, service := range services {
		if !slices.Contains(known, service) {
			known = append(known, service)
		}
	}
	d.putConfiguration(known...)
	for number, service := range services {
		if err := d.addSide(ctx, number, service); err != nil {
			return err
		}
		d.announce(d.sides[number].endpoint, "ready")
	}
	for number := range balancers {
		if err := d.addBalancer(number, min(balancers, 3)); err != nil {
			return err
		}
	}
	d.router = newRouter(ctx, d, balancers)
	var err error
	if d.client, err = newClient(ctx, d); err != nil {
		return err
	}
	if err := d.awaitReady(balancers, 10*time.Second); err != nil {
		return err
	}
	d.record.write("%d balancers are ready", balancers)
	return nil
}

// herdKill kills all processes of the system at once. The platform starts them again.
func (d *deployment) herdKill() error {
	for _, each := range d.processes() {
		each.signal(syscall.SIGKILL)
	}
	var group sync.WaitGroup
	failures := make(chan error, len(d.processes()))
	for _, each := range d.processes() {
		group.Go(func() { failures <- each.startAgain() })
	}
	group.Wait()
	close(failures)
	for err := range failures {
		if err != nil {
			return err
		}
	}
	return nil
}

// resetAfterHerdKill: an endpoint leaves without saying draining and serves on. All processes of
// the system are killed and start again. Later than ContactMs after that, clients go on in the flows
// that they have kept open.
func resetAfterHerdKill(ctx context.Context, d *deployment, trouble bool) (bool, error) {
	if err := d.begin(ctx, 2, "svc-a", "svc-a", "svc-a"); err != nil {
		return false, err
	}
	var flows []*kept
	for range 24 {
		flows = append(flows, d.client.open(0))
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(time.Second)
	leaving := d.sides[2].endpoint
	onLeaving := 0
	for _, flow := range flows {
		if by, _ := flow.answeredBy(flow.request); by == "" {
			return false, fmt.Errorf("a first request was not answered")
		}
		if leaving.owns(flow.key) {
			onLeaving++
		}
	}
	d.record.write("%d flows are open and were answered, %d of them at endpoint %s", len(flows), onLeaving, leaving.id)
	if onLeaving == 0 {
		return false, fmt.Errorf("the endpoint that leaves has no flow")
	}
	d.record.write("endpoint %s leaves without a word and serves on", leaving.id)
	d.remove(leaving.id)
	time.Sleep(500 * time.Millisecond)
	if trouble {
		if err := d.herdKill(); err != nil {
			return false, err
		}
	}
	if err := d.awaitReady(2, 10*time.Second); err != nil {
		return false, err
	}
	time.Sleep(contactBound + time.Second)
	d.record.write("all machines are in touch; the clients go on in their flows")
	requests := make([]string, len(flows))
	for number, flow := range flows {
		requests[number] = flow.again()
	}
	time.Sleep(4 * time.Second)
	resets := 0
	for number, flow := range flows {
		by, resetAt := flow.answeredBy(requests[number])
		owner := "another endpoint"
		if leaving.owns(flow.key) {
			owner = "endpoint " + leaving.id
		}
		switch {
		case resetAt > 0:
			resets++
			d.record.write("flow %s, open at %s, which lives and sent no reset: a reset reached the client at %.3f s; request %s ran %d times",
				flow.key.Client, owner, resetAt.Seconds(), requests[number], leaving.runsOf(requests[number]))
		case by == "":
			d.record.write("flow %s, open at %s: request %s has no answer", flow.key.Client, owner, requests[number])
		default:
			d.record.write("flow %s, open at %s: request %s answered by %s", flow.key.Client, owner, requests[number], by)
		}
		flow.finish()
	}
	d.record.write("FLOW: %d open flows were reset", resets)
	return resets > 0, nil
}

// lateOpenings: half of the endpoints of a service leave without saying draining, while the two
// balancers that watch the store are frozen. The third balancer and all agents are in touch.
func lateOpenings(ctx context.Context, d *deployment, trouble bool) (bool, error) {
	if err := d.begin(ctx, 3, "svc-a", "svc-a", "svc-a", "svc-a"); err != nil {
		return false, err
	}
	time.Sleep(contactBound + time.Second)
	var watching []*process
	d.watchMutex.Lock()
	for number, balancer := range d.balancers {
		if time.Since(d.watchedAt[number]) < 1500*time.Millisecond {
			watching = append(watching, balancer)
		}
	}
	d.watchMutex.Unlock()
	d.record.write("%d balancers watch the store", len(watching))
	if len(watching) != 2 {
		return false, fmt.Errorf("%d balancers watch the store, not 2", len(watching))
	}
	stop := make(chan struct{})
	var traffic sync.WaitGroup
	traffic.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(2 * time.Millisecond):
			}
			flow := d.client.open(0)
			time.AfterFunc(700*time.Millisecond, flow.finish)
		}
	})
	time.Sleep(time.Second)
	// A change that all balancers learn of at once.
	d.putConfiguration("svc-a")
	time.Sleep(150 * time.Millisecond)
	if trouble {
		for _, balancer := range watching {
			balancer.signal(syscall.SIGSTOP)
		}
	}
	leaving := []*side{d.sides[2], d.sides[3]}
	d.record.write("two endpoints leave without a word and serve on")
	acknowledged := d.record.now()
	for _, each := range leaving {
		d.remove(each.endpoint.id)
	}
	time.Sleep(drainBound + 250*time.Millisecond)
	for _, each := range leaving {
		each.endpoint.end("has served for DrainMs and a little longer, and ends")
		each.agent.signal(syscall.SIGTERM)
	}
	time.Sleep(4 * time.Second)
	close(stop)
	traffic.Wait()
	for _, balancer := range watching {
		balancer.signal(syscall.SIGCONT)
	}
	late, lost := 0, 0
	for _, each := range leaving {
		for _, opening := range each.endpoint.openingsAfter(acknowledged + drainBound) {
			late++
			request, answered := d.client.requestIn(opening.key)
			ran := each.endpoint.runsOf(request)
			if ran > 0 && !answered {
				lost++
			}
			d.record.write("endpoint %s took flow %s %.3f s after its entry had gone; its request %s ran %d times, answered: %t",
				each.endpoint.id, opening.key.Client, (opening.at - acknowledged).Seconds(), request, ran, answered)
		}
	}
	d.record.write("DRAIN: %d flows opened later than %s after the entries had gone; %d requests in them ran and were never answered", late, drainBound, lost)
	return late > 0, nil
}

// foreignEntry: another writer has produced entries that lack two fields and have another of another
// type. They name another service and the addresses of the living endpoints of
// svc-a. Then a balancer is stopped as planned and starts again, and knows none of the flows that come
// to it.
func foreignEntry(ctx context.Context, d *deployment, trouble bool) (bool, error) {
	if err := d.begin(ctx, 2, "svc-a", "svc-a", "svc-b"); err != nil {
		return false, err
	}
	time.Sleep(contactBound + time.Second)
	var flows []*kept
	for range 24 {
		flows = append(flows, d.client.open(0))
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(time.Second)
	for _, flow := range flows {
		if by, _ := flow.answeredBy(flow.request); by == "" {
			return false, fmt.Errorf("a first request was not answered")
		}
	}
	d.record.write("%d flows are open and were answered", len(flows))
	if trouble {
		for number, each := range d.sides[:2] {
			foreign := d.entryOf(each.endpoint, "ready")
			foreign.Service, foreign.Foreign = "svc-b", true
			d.record.write("another writer makes an entry")
			d.put(fmt.Sprintf("i-other-%d", number), foreign)
		}
	}
	time.Sleep(500 * time.Millisecond)
	d.balancers[0].signal(syscall.SIGTERM)
	if err := d.balancers[0].startAgain(); err != nil {
		return false, err
	}
	if err := d.awaitReady(2, 10*time.Second); err != nil {
		return false, err
	}
	time.Sleep(contactBound + time.Second)
	requests := make([]string, len(flows))
	for number, flow := range flows {
		requests[number] = flow.again()
	}
	var fresh []*kept
	for range 20 {
		fresh = append(fresh, d.client.open(0))
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	resets := 0
	for number, flow := range flows {
		by, resetAt := flow.answeredBy(requests[number])
		owner := d.ownerOf(flow.key)
		switch {
		case resetAt > 0 && owner != nil:
			resets++
			d.record.write("flow %s, open at endpoint %s, which lives and sent no reset: a reset reached the client at %.3f s", flow.key.Client, owner.id, resetAt.Seconds())
		case by == "":
			d.record.write("flow %s: request %s has no answer", flow.key.Client, requests[number])
		default:
			d.record.write("flow %s: request %s answered by %s", flow.key.Client, requests[number], by)
		}
		flow.finish()
	}
	served := 0
	for _, flow := range fresh {
		if by, _ := flow.answeredBy(flow.request); by != "" {
			served++
		}
		flow.finish()
	}
	d.record.write("of %d new flows to svc-a, whose endpoints are all well, %d were served", len(fresh), served)
	d.record.write("FLOW: %d open flows were reset", resets)
	return resets > 0, nil
}

// ownerOf returns the endpoint at which a flow was opened, or nil.
func (d *deployment) ownerOf(key segment.FlowKey) *endpoint {
	for _, each := range d.sides {
		if each.endpoint.owns(key) {
			return each.endpoint
		}
	}
	return nil
}

// coldAgain: a new endpoint is cold. Before that ends it crashes and starts again under its id, so it
// is cold once more. Its first write to the store is done some seconds late.
func coldAgain(ctx context.Context, d *deployment, trouble bool) (bool, error) {
	d.coldPerS = 12
	if err := d.begin(ctx, 2, "svc-a", "svc-a"); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var traffic sync.WaitGroup
	traffic.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(8 * time.Millisecond):
			}
			flow := d.client.open(0)
			time.AfterFunc(300*time.Millisecond, flow.finish)
		}
	})
	time.Sleep(contactBound)
	if err := d.addSide(ctx, 2, "svc-a"); err != nil {
		return false, err
	}
	cold := d.sides[2].endpoint
	announce := func(remaining time.Duration) {
		document := d.entryOf(cold, "ready")
		document.ColdMilliseconds, document.Born = remaining.Milliseconds(), time.Now().UnixMilli()
		d.put(cold.id, document)
	}
	announce(coldStart)
	began := d.record.now()
	time.Sleep(6 * time.Second)
	if trouble {
		cold.end("crashes")
		time.Sleep(600 * time.Millisecond)
		if err := cold.startAgain(); err != nil {
			return false, err
		}
		began = d.record.now()
		time.Sleep(5 * time.Second)
		announce(coldStart - 5*time.Second)
		time.Sleep(2500 * time.Millisecond)
	}
	close(stop)
	traffic.Wait()
	limit := d.coldPerS*coldOverrun + coldSlack
	most, at := cold.mostInASecond(began, began+coldStart)
	d.record.write("FAILBACK: the cold endpoint took %d flows within one second, from %.3f s after its start; %v are allowed", most, (at - began).Seconds(), limit)
	return float64(most) > limit, nil
}

// mostInASecond returns the highest number of flows that the endpoint took within one second of a
// period, and when that second began.
func (e *endpoint) mostInASecond(from, to time.Duration) (most int, at time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, first := range e.openings {
		count := 0
		for _, each := range e.openings {
			if each.at >= first.at && each.at < first.at+time.Second && first.at >= from && each.at <= to {
				count++
			}
		}
		if count > most {
			most, at = count, first.at
		}
	}
	return most, at
}

// lateWrite: an endpoint of svc-b drains and leaves; its last write to the store is done some seconds
// late. Meanwhile its address has gone to an endpoint of svc-a, at which clients have opened flows. One
// balancer is stopped as planned, so that its flows come to the other one, which does not know them.
func lateWrite(ctx context.Context, d *deployment, trouble bool) (bool, error) {
	if err := d.begin(ctx, 2, "svc-a", "svc-b", "svc-b"); err != nil {
		return false, err
	}
	ended := d.sides[2]
	d.announce(ended.endpoint, "draining")
	time.Sleep(contactBound)
	late := d.entryOf(ended.endpoint, "draining")
	late.Calls = 9
	written := time.Now()
	after := func(passed time.Duration) { time.Sleep(time.Until(written.Add(passed))) }
	d.record.write("endpoint %s writes its entry once more; the store will do that 5.9 s late", ended.endpoint.id)
	ended.endpoint.end("has drained and ends")
	d.remove(ended.endpoint.id)
	ended.agent.signal(syscall.SIGTERM)
	ended.agent.wait()
	after(2100 * time.Millisecond)
	d.record.write("its address goes to an endpoint of svc-a")
	if err := d.addSide(ctx, 2, "svc-a"); err != nil {
		return false, err
	}
	fresh := d.sides[3].endpoint
	d.announce(fresh, "ready")
	after(2800 * time.Millisecond)
	var flows []*kept
	for range 60 {
		flows = append(flows, d.client.open(0))
		time.Sleep(10 * time.Millisecond)
	}
	after(5 * time.Second)
	d.balancers[1].signal(syscall.SIGTERM)
	restarted := make(chan error, 1)
	go func() { restarted <- d.balancers[1].startAgain() }()
	after(5900 * time.Millisecond)
	if trouble {
		d.record.write("the store does the late write of endpoint %s", ended.endpoint.id)
		d.put(ended.endpoint.id, late)
	}
	after(6900 * time.Millisecond)
	d.record.write("edge-0, the endpoint's machine and the store have had no disruption for longer than %s", contactBound)
	requests := make([]string, len(flows))
	for number, flow := range flows {
		requests[number] = flow.again()
	}
	after(9500 * time.Millisecond)
	d.record.write("three heartbeats have passed without a write")
	d.remove(ended.endpoint.id)
	if err := <-restarted; err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	resets, at := 0, 0
	for number, flow := range flows {
		by, resetAt := flow.answeredBy(requests[number])
		if !fresh.owns(flow.key) {
			flow.finish()
			continue
		}
		at++
		switch {
		case resetAt > 0:
			resets++
			d.record.write("flow %s, open at endpoint %s, which lives and sent no reset: a reset reached the client at %.3f s", flow.key.Client, fresh.id, resetAt.Seconds())
		default:
			d.record.write("flow %s: request %s answered by %q", flow.key.Client, requests[number], by)
		}
		flow.finish()
	}
	d.record.write("FLOW: of %d flows open at endpoint %s %d were reset", at, fresh.id, resets)
	return resets > 0, nil
}
