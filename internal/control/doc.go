// Package control implements consensus on configuration versions. Each version
// is a write-once register whose value is chosen by single-decree Paxos. Its
// acceptors are the control hosts that the previous version lists; for version 1
// they are the bootstrap hosts. A version holds the whole document.
// docs/design/control.md compares the alternatives.
//
// A Machine holds one host's roles: proposer, learner and, if the host has a
// disk that is listed in the group, acceptor. It is a deterministic state
// machine: methods that depend on time take the current time, and a Machine
// does no I/O, starts no goroutine, reads no clock, and isn't safe for
// concurrent use. The caller
//
//  1. passes in one input (Propose, Read, Receive, ObserveVersion or Tick),
//  2. calls Ready,
//  3. saves Ready.Save durably if it is set; if the write fails, drops the
//     messages of this Ready, keeps the rest, and calls StoreFailed; if one
//     succeeds after a failed one, calls StoreRecovered,
//  4. sends Ready.Messages; messages to its own host are passed to Receive,
//  5. applies Ready.Chosen and delivers Ready.Decisions and Ready.Reads.
//
// Messages may be lost, duplicated and reordered. Step 3 must precede step 4:
// promises, acceptances and reports describe state that is already on disk.
// Step 5 may precede step 4.
package control
