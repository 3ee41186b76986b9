package requestqueue

import (
	"slices"
	"time"
)

// Network is the network of a client: its address without the bits of the host.
type Network uint32

// NetworkShare lets networks of clients take turns among the requests of one priority and
// outlook, so that one that asks for much does not take what the others ask for (start-time
// fair queuing: Goyal, Vin and Cheng, 1996). Within a network the order decides.
type NetworkShare struct {
	order Order
	// virtual is the start tag of the request that was served last.
	virtual float64
	// finish is the tag after the last request of a network, if that is beyond virtual.
	finish map[Network]float64
}

// NewNetworkShare returns an order in which networks take turns.
func NewNetworkShare(order Order) *NetworkShare {
	return &NetworkShare{order: order, finish: make(map[Network]float64)}
}

// Next implements Order.
func (n *NetworkShare) Next(now time.Duration, capacity Capacity, waiting []Request) Choice {
	choice := n.order.Next(now, capacity, waiting)
	chosen := waiting[choice.Index]
	turn := chosen.Network
	var indices []int
	for index, request := range waiting {
		if request.Priority != chosen.Priority || request.Outlook(now, capacity.Work) != chosen.Outlook(now, capacity.Work) {
			continue
		}
		indices = append(indices, index)
		if n.start(request.Network) < n.start(turn) {
			turn = request.Network
		}
	}
	n.serve(turn)
	if turn == chosen.Network {
		return choice
	}
	indices = slices.DeleteFunc(indices, func(index int) bool { return waiting[index].Network != turn })
	return among(n.order, now, capacity, waiting, indices)
}

// start is the tag of the next request of a network.
func (n *NetworkShare) start(network Network) float64 { return max(n.virtual, n.finish[network]) }

// serve notes that a request of a network is served, and forgets those networks whose turn
// would have come.
func (n *NetworkShare) serve(network Network) {
	n.virtual = n.start(network)
	n.finish[network] = n.virtual + 1
	for other, finish := range n.finish {
		if finish <= n.virtual {
			delete(n.finish, other)
		}
	}
}

// among lets an order choose among some of the requests, given by their indices.
func among(order Order, now time.Duration, capacity Capacity, waiting []Request, indices []int) Choice {
	requests := make([]Request, len(indices))
	for position, index := range indices {
		requests[position] = waiting[index]
	}
	choice := order.Next(now, capacity, requests)
	return Choice{indices[choice.Index], choice.Reason}
}
