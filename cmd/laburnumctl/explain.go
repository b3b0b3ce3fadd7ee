package main

import (
	"context"
	"flag"
	"fmt"
	"net/url"
	"os"
	"text/tabwriter"

	"github.com/google/subcommands"
	"github.com/laburnumwalk/laburnumwalk/internal/api"
	"github.com/laburnumwalk/laburnumwalk/internal/job"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
	"github.com/pkg/errors"
)

// explainCommand tells why a job's answer took as long as it did.
type explainCommand struct{ client *hostClient }

func (*explainCommand) Name() string     { return "explain" }
func (*explainCommand) Synopsis() string { return "tell which part of a job's answer was slow" }
func (*explainCommand) Usage() string {
	return "explain TEAM KEY\n  Show where the time of a job's answer went. Ask the host that ran the job.\n"
}
func (*explainCommand) SetFlags(_ *flag.FlagSet) {}

func (e *explainCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 2 {
		fmt.Fprint(os.Stderr, e.Usage())
		return subcommands.ExitUsageError
	}
	path := "/v1/explain/" + url.PathEscape(f.Arg(0)) + "/" + url.PathEscape(f.Arg(1))
	var r api.JobResponse
	if _, err := e.client.do(ctx, "GET", e.client.host, path, nil, &r); err != nil {
		return fail(err)
	}
	if r.Timing == nil {
		return fail(errors.WithStack(&result.Error{Code: r.Code, Detail: r.Detail}))
	}
	return e.client.print(r, func() { printExplanation(&r) })
}

func printExplanation(r *api.JobResponse) {
	t := r.Timing
	fmt.Printf("job %s/%s: code %d %s\n\n", r.Team, r.Key, r.Code, r.Name)
	w := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	fmt.Fprintf(w, "LEG\tUS\tNOTE\n")
	for _, l := range legs(t) {
		if l.us != 0 || l.always {
			fmt.Fprintf(w, "%s\t%d\t%s\n", l.name, l.us, l.note)
		}
	}
	w.Flush()
	fmt.Printf("\n%s\n", explanation(&t.Verdict))
}

// leg is one row of the table.
type leg struct {
	name   string
	us     int64
	note   string
	always bool
}

func legs(t *api.TimingResponse) []leg {
	own := max(t.OwnUS, t.RunUS)
	network := "the minion did not report its own time"
	if own > 0 {
		network = fmt.Sprintf("trip without the minion's own time: %d", max(0, t.TripUS-own))
	}
	return []leg{
		{"receive", t.ReceiveUS, "caller sending the request", false},
		{"admit", t.AdmitUS, "host, until acceptance", false},
		{"control", t.ControlUS, "looking for the owner of the key", false},
		{"queue", t.QueueUS, "waiting for a slot", true},
		{"refused", t.RefusedUS, "starts that did not happen, last by " + t.RefusedBy, false},
		{"handoff", t.HandoffUS, "host, until the task was sent", true},
		{"trip", t.TripUS, fmt.Sprintf("task %d to %s and back", t.Task, t.Minion), true},
		{"  run", t.RunUS, "on the minion", true},
		{"  own", t.OwnUS, "the minion's whole time", false},
		{"  network", max(0, t.TripUS-own), network, true},
		{"open", t.OpenUS, "task not answered by " + t.Minion, false},
		{"collect", t.CollectUS, "host, until the answer was decided on", true},
		{"pause", t.PauseUS, "of the queue and trip, host stood still", false},
		{"owner", t.PeerTripUS, "fetch from host " + t.Peer, false},
		{"  held", t.PeerHeldUS, "the owner's own time", false},
		{"total", t.TotalUS, "from acceptance to the answer", true},
		{"encode", t.EncodeUS, "host, the answer", false},
		{"write", t.WriteUS, "caller reading the answer", false},
	}
}

// explanation puts the verdict in words.
func explanation(v *job.Verdict) string {
	text := map[job.Part]string{
		job.PartNetwork:   "The network was slow: %s, beyond its recent round trips.",
		job.PartQueue:     "The job waited for a free slot on host %s; neither the network nor a minion was slow.",
		job.PartMinionRun: "The run on minion %s took the time; neither the network nor the queue did.",
		job.PartStraggler: "Minion %s is a straggler: its run was far above those of other minions at the time.",
		job.PartControl:   "Looking for the owner of the key took the time, on host %s.",
		job.PartCaller:    "The caller of team %s sent its request or read its answer slowly.",
		job.PartHost:      "Host %s itself lost the time: it stood still, or its rings were long.",
		job.PartUnknown:   "Unknown: the evidence is missing (minion %q reported no time of its own, or no answer came).",
	}[v.Part]
	if text == "" {
		return "No verdict."
	}
	return fmt.Sprintf("Verdict: "+text+" %.0f%% of the answer's time.", v.Where, 100*v.Share)
}
