// Package control agrees on configuration versions. Each version is a
// write-once register over the control hosts of the version before, chosen by
// a two-phase majority round (single-decree Paxos per version); a version
// holds the whole document. docs/design/control.md weighs the ways considered.
//
// A Machine is the part of one host: acceptor (when the host has a disk and
// the group names it), proposer and learner. It is a pure state machine: every
// method takes the current time; it does no I/O, starts no goroutine, reads no
// clock, and isn't safe for concurrent use. The caller
//
//  1. feeds one input (Propose, Receive, Hint, Tick),
//  2. takes Ready,
//  3. makes Ready.Save durable, if it is set; when that fails, drops the
//     messages (not the rest) of this Ready and calls StoreFailed,
//  4. sends Ready.Messages, those to its own host by Receive,
//  5. puts Ready.Chosen in force and delivers Ready.Decisions.
//
// Messages may be lost, doubled and reordered. Steps 3 and 4 may not be
// swapped: a promise, an acceptance or a report speaks of what is on the disk.
package control
