// Package pool dispatches the tasks of jobs on the leased minions that one host
// owns. It answers loads up to about twice what the minions can carry: the
// queue's order, early refusals and placement are in files of their own.
//
// A minion runs what the owner with the highest fencing token tells it to run,
// under a lease that covers everything on it. Capacity is guarded by the owner
// alone: an order without an answer holds its capacity until a listing under a
// newer token, or the end of the lease, shows that it is free. A task is started
// again only when its earlier run is known to have ended or never to begin.
//
// A Pool is a pure state machine: every method takes the current time; it does
// no I/O, starts no goroutine, reads no clock, and isn't safe for concurrent
// use. The caller feeds one input, takes Ready, and carries out what it holds:
// each Start ends in Started, each Stop in Stopped, each Hold in Held.
package pool
