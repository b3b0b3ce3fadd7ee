// Command kit3 holds the stand-ins and the scripted cases of a review.
package main

import (
	"fmt"
	"os"
	"strings"
)

// scripted is a case. run returns an error if the case could not run.
type scripted struct {
	run func(d *deployment, trouble bool) error
	new func() (*deployment, error)
}

var cases = map[string]scripted{}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: kit3 CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func play(name, record string, trouble bool) int {
	c, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return 2
	}
	d, err := c.new()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	err = c.run(d, trouble)
	d.stop()
	d.book.mu.Lock()
	defer d.book.mu.Unlock()
	text := strings.Join(d.book.lines, "\n") + "\n"
	if werr := os.WriteFile(record, []byte(text), 0o644); err == nil {
		err = werr
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return 2
	}
	for i, x := range d.book.broken {
		if i < 10 {
			fmt.Println("broken:", x)
		}
	}
	fmt.Printf("%d broken, %d jobs\n", len(d.book.broken), len(d.book.jobs))
	if len(d.book.broken) > 0 {
		return 1
	}
	return 0
}
