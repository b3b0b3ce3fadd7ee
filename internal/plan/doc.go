// Package plan turns an operator's intent into a plan: the wanted
// configuration document, what it changes, what that touches, and the version
// that it is based on. A plan changes nothing; Store keeps it until it is
// confirmed or expires, and remembers the outcome of each confirmation.
//
// The package is pure: methods that need the time take it; it does no I/O,
// starts no goroutine and reads no clock.
package plan
