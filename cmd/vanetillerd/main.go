// Command vanetillerd runs one process of a fleet: a balancer, or an agent
// beside back ends.
package main

import "github.com/vanetiller/vanetiller/internal/daemon"

func main() { daemon.Program().Main() }
