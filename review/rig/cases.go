//go:build review

package main

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"
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
	d.store.Delete("servers/" + leaving.id)
	d.record.write("the entry of endpoint %s is gone; it said nothing before and serves on", leaving.id)
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
				flow.key.Client, owner, resetAt.Seconds(), requests[number], leaving.runs[requests[number]])
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
			case <-time.After(10 * time.Millisecond):
			}
			flow := d.client.open(0)
			time.AfterFunc(700*time.Millisecond, flow.finish)
		}
	})
	time.Sleep(time.Second)
	// A change that all balancers learn of at once.
	d.putConfiguration("svc-a")
	time.Sleep(250 * time.Millisecond)
	if trouble {
		for _, balancer := range watching {
			balancer.signal(syscall.SIGSTOP)
		}
	}
	leaving := []*endpoint{d.sides[2].endpoint, d.sides[3].endpoint}
	var acknowledged []time.Duration
	for _, each := range leaving {
		d.store.Delete("servers/" + each.id)
		acknowledged = append(acknowledged, d.record.now())
		d.record.write("the entry of endpoint %s is gone; it said nothing before and serves on", each.id)
	}
	time.Sleep(6 * time.Second)
	close(stop)
	traffic.Wait()
	for _, balancer := range watching {
		balancer.signal(syscall.SIGCONT)
	}
	late := 0
	for number, each := range leaving {
		count, last := each.openingsAfter(acknowledged[number] + drainBound)
		late += count
		d.record.write("endpoint %s took %d flows later than %s after its entry had gone, the last one %.3f s after",
			each.id, count, drainBound, (last - acknowledged[number]).Seconds())
	}
	d.record.write("DRAIN: %d late openings", late)
	return late > 0, nil
}

// foreignEntry: another writer has produced an entry without the fields Version and CallSeq, for
// another service, with the address of a living endpoint. Then a balancer is stopped as planned, and
// flows come to the other one, which does not know them.
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
	victim := d.sides[0].endpoint
	onVictim := 0
	for _, flow := range flows {
		if by, _ := flow.answeredBy(flow.request); by == "" {
			return false, fmt.Errorf("a first request was not answered")
		}
		if victim.owns(flow.key) {
			onVictim++
		}
	}
	d.record.write("%d flows are open and were answered, %d of them at endpoint %s", len(flows), onVictim, victim.id)
	if trouble {
		foreign := d.entry(victim, "ready")
		foreign["Service"] = "svc-b"
		delete(foreign, "Version")
		delete(foreign, "CallSeq")
		delete(foreign, "ColdRemainingMs")
		d.store.Put("servers/i-other", foreign)
		d.record.write("another writer makes the entry servers/i-other: %v", foreign)
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
	time.Sleep(4 * time.Second)
	resets := 0
	for number, flow := range flows {
		by, resetAt := flow.answeredBy(requests[number])
		owner := "another endpoint"
		if victim.owns(flow.key) {
			owner = "endpoint " + victim.id
		}
		switch {
		case resetAt > 0:
			resets++
			d.record.write("flow %s, open at %s, which lives and sent no reset: a reset reached the client at %.3f s", flow.key.Client, owner, resetAt.Seconds())
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
