// Package invariant checks properties that must hold in production as well as
// under test. A broken invariant panics unless a handler was set.
package invariant

import (
	"fmt"
	"sync/atomic"
)

// Handler receives the description of a broken invariant.
type Handler func(description string)

var handler atomic.Pointer[Handler]

// SetHandler makes broken invariants call h instead of panicking, in the whole
// process.
func SetHandler(h Handler) { handler.Store(&h) }

// Check returns ok. If ok is false, it calls the handler with the formatted
// description, or panics when no handler is set.
func Check(ok bool, format string, args ...any) bool {
	if ok {
		return true
	}
	description := fmt.Sprintf(format, args...)
	if h := handler.Load(); h != nil {
		(*h)(description)
		return false
	}
	panic("invariant broken: " + description)
}
