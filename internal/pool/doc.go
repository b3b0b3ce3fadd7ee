// Package pool dispatches the tasks of jobs to the leased minions that one host
// owns. It is built for loads of up to about twice the capacity of the minions: it
// ranks the waiting jobs by value (rank.go), refuses early the jobs that cannot end in
// time (admit.go), and chooses the minion for each task (place.go).
//
// A minion obeys the owner with the highest fencing token and runs tasks under
// one lease that covers all of its runs. Only the owner accounts for capacity:
// an unanswered start keeps its capacity reserved until a listing under a newer
// token, or the end of the lease, proves that the capacity is free. A task is
// started again only when its previous run has certainly ended or can no longer
// begin. A listing proves something only under the minion's present token and for its
// present incarnation: another owner or a restart may have come between.
//
// A Pool is a pure state machine: every method takes the current time; it does
// no I/O, starts no goroutine, reads no clock, and isn't safe for concurrent
// use. After each input the caller takes the pending orders from Ready and sends
// them. It passes the answer to each Start to HandleStartAnswer, to each Stop to
// HandleStopAnswer and to each Poll to HandlePollAnswer.
package pool
