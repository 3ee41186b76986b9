// Command vanetillerd runs one process of a load balancer fleet: a balancer, which
// forwards packets of clients, or an agent, which terminates client flows on the
// machine of the back ends. The settings file selects the role.
package main

import "github.com/vanetiller/vanetiller/internal/daemon"

func main() { daemon.Program().Main() }
