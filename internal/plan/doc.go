// Package plan computes plans from operator requests. A plan holds the wanted
// configuration document, its differences from the applied document, the hosts,
// minions, teams and tasks that it affects, and the version that it is based
// on. Making a plan changes nothing: an operator has to confirm it. Store keeps
// each plan until it expires, and the outcome of each confirmation, so that a
// resent confirmation gets the same answer. A full Store evicts its oldest plan or
// confirmation.
//
// The package does no I/O, starts no goroutines and reads no clock: methods
// that depend on the time take it as an argument.
package plan
