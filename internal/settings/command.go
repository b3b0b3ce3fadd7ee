package settings

import (
	"fmt"
	"os"
)

// Exit codes of the daemons.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitInvalid = 2 // the settings were refused
)

// Command loads the settings of a daemon by load. done says that the process
// ends with the code: the settings were refused, or were only to be checked.
func Command[T any](path string, check bool, load func(path string) (T, error)) (s T, code int, done bool) {
	s, err := load(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return s, ExitInvalid, true
	}
	if check {
		fmt.Printf("%s: ok\n", path)
		return s, ExitOK, true
	}
	return s, ExitOK, false
}
