package main

import (
	"context"
	"flag"
	"fmt"
	"os/user"
	"strings"

	"github.com/google/subcommands"
	"github.com/laburnumwalk/laburnumwalk/internal/api"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
)

// confirmCommand carries out a plan.
type confirmCommand struct {
	client   *hostClient
	command  string
	operator string
}

func (*confirmCommand) Name() string     { return "confirm" }
func (*confirmCommand) Synopsis() string { return "carry out a plan" }
func (*confirmCommand) Usage() string {
	return "confirm PLAN\n  Carry out a plan, at the host that made it. After a lost answer give the same\n" +
		"  command again: it gets the first outcome. Exit status 3: refused, for example\n" +
		"  because another operator's change came first; plan again.\n" +
		"  Example: laburnumctl -host 10.0.0.1:8103 confirm 3f9a2c1b\n"
}

func (c *confirmCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.command, "command", "", "`identity` of this command; a resend under the same one gets the first outcome; empty: confirm-PLAN")
	f.StringVar(&c.operator, "operator", currentUser(), "`name` that other operators are told")
}

// currentUser returns the name of the user in the alphabet of names.
func currentUser() string {
	u, err := user.Current()
	if err != nil || u.Username == "" {
		return "unknown"
	}
	return strings.Map(nameRune, u.Username)
}

func nameRune(r rune) rune {
	if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune("._:-", r) {
		return r
	}
	return '_'
}

func (c *confirmCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return misused(c, "want one PLAN")
	}
	id := f.Arg(0)
	if c.command == "" {
		c.command = "confirm-" + id
	}
	var r api.ConfirmResponse
	err := c.client.send(ctx, "POST", "/v1/plans/"+id+"/confirm", api.ConfirmRequest{Command: c.command, Operator: c.operator}, &r)
	if err != nil && r.Name == "" {
		return fail(err)
	}
	if status := c.client.print(r, func() { printConfirm(&r) }); status != subcommands.ExitSuccess {
		return status
	}
	if r.Code != result.OK {
		return exitRefused
	}
	return subcommands.ExitSuccess
}

func printConfirm(r *api.ConfirmResponse) {
	if r.Code == result.OK {
		fmt.Printf("accepted as version %d\n", r.Version)
		return
	}
	fmt.Printf("%d %s", r.Code, r.Name)
	if r.Detail != "" {
		fmt.Printf(": %s", r.Detail)
	}
	fmt.Println()
	if r.Winner != "" {
		fmt.Printf("version %d is in force; operator %s changed the version that the plan was made on\n", r.Version, r.Winner)
	}
	printLines("changed since the plan was made", r.Changes)
}
