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

// confirmCommand confirms a plan, which applies its changes.
type confirmCommand struct {
	client    *hostClient
	commandID string
	operator  string
}

func (*confirmCommand) Name() string     { return "confirm" }
func (*confirmCommand) Synopsis() string { return "apply a plan" }
func (*confirmCommand) Usage() string {
	return "confirm PLAN\n  Apply a plan, at the host that made it. If the answer is lost, repeat the\n" +
		"  command: it returns the first outcome. Exit status 3: refused, for example\n" +
		"  because another operator's change was applied first; make a new plan.\n" +
		"  Example: laburnumctl -host 10.0.0.1:8103 confirm 3f9a2c1b\n"
}

func (c *confirmCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.commandID, "command", "", "`identity` of this command; a repetition with the same identity returns the first outcome; default confirm-PLAN")
	f.StringVar(&c.operator, "operator", currentUser(), "`name` of the operator, shown to other operators")
}

// currentUser returns the login name of the user, with characters that are not
// valid in a name replaced by '_', or "unknown".
func currentUser() string {
	u, err := user.Current()
	if err != nil || u.Username == "" {
		return "unknown"
	}
	return strings.Map(replaceInvalidRune, u.Username)
}

func replaceInvalidRune(r rune) rune {
	if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune("._:-", r) {
		return r
	}
	return '_'
}

func (c *confirmCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return usageError(c, "expected one argument PLAN")
	}
	id := f.Arg(0)
	if c.commandID == "" {
		c.commandID = "confirm-" + id
	}
	var r api.ConfirmResponse
	err := c.client.send(ctx, "POST", "/v1/plans/"+id+"/confirm", api.ConfirmRequest{Command: c.commandID, Operator: c.operator}, &r)
	if err != nil && r.Name == "" {
		return reportError(err)
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
		fmt.Printf("version %d is in force; operator %s changed the version that the plan is based on\n", r.Version, r.Winner)
	}
	printSection("changed since the plan was made", r.Changes)
}
