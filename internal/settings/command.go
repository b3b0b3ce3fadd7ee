package settings

import (
	"fmt"
	"os"
)

// Exit codes of the daemons.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitInvalid = 2 // the settings are invalid
)

// LoadAndReport loads the settings file of a daemon with the given function. It
// prints a load error to standard error. If check is set and the settings are
// valid, it prints "PATH: ok". If done is true, the process must exit with code.
func LoadAndReport[T any](path string, check bool, load func(path string) (T, error)) (s T, code int, done bool) {
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
