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

// explainCommand shows how the response time of a job is made up, and the verdict
// on its slowest part.
type explainCommand struct{ client *hostClient }

func (*explainCommand) Name() string     { return "explain" }
func (*explainCommand) Synopsis() string { return "show which part of a job's response time was slow" }
func (*explainCommand) Usage() string {
	return "explain TEAM KEY\n  Show how the response time of a job is made up. Ask the host that\n  owns the job.\n"
}
func (*explainCommand) SetFlags(_ *flag.FlagSet) {}

func (e *explainCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 2 {
		fmt.Fprint(os.Stderr, e.Usage())
		return subcommands.ExitUsageError
	}
	path := "/v1/explain/" + url.PathEscape(f.Arg(0)) + "/" + url.PathEscape(f.Arg(1))
	var r api.JobResponse
	if _, err := e.client.do(ctx, "GET", e.client.hostAddresses, path, nil, &r); err != nil {
		return reportError(err)
	}
	if r.Timing == nil {
		return reportError(errors.WithStack(&result.Error{Code: r.Code, Detail: r.Detail}))
	}
	return e.client.print(r, func() { printExplanation(&r) })
}

func printExplanation(r *api.JobResponse) {
	t := r.Timing
	fmt.Printf("job %s/%s: code %d %s\n\n", r.Team, r.Key, r.Code, r.Name)
	w := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	fmt.Fprintf(w, "LEG\tUS\tNOTE\n")
	for _, l := range timingRows(t) {
		if l.us != 0 || l.alwaysShown {
			fmt.Fprintf(w, "%s\t%d\t%s\n", l.name, l.us, l.note)
		}
	}
	w.Flush()
	fmt.Printf("\n%s\n", describeVerdict(&t.Verdict))
}

// timingRow is one row of the table: the duration of one part of the response
// time.
type timingRow struct {
	name        string
	us          int64
	note        string
	alwaysShown bool
}

func timingRows(t *api.TimingResponse) []timingRow {
	own := max(t.OwnUS, t.RunUS)
	network := "the minion did not report its processing time"
	if own > 0 {
		network = fmt.Sprintf("round trip without the minion's processing time: %d", max(0, t.TripUS-own))
	}
	return []timingRow{
		{"receive", t.ReceiveUS, "caller sending the request", false},
		{"admit", t.AdmitUS, "host, until the job was accepted", false},
		{"control", t.ControlUS, "finding the owner of the key", false},
		{"queue", t.QueueUS, "waiting for a slot", true},
		{"refused", t.RefusedUS, "starts that did not run the task, last by " + t.RefusedBy, false},
		{"handoff", t.HandoffUS, "host, until the task was sent to the minion", true},
		{"trip", t.TripUS, fmt.Sprintf("task %d to %s and back", t.Task, t.Minion), true},
		{"  run", t.RunUS, "execution on the minion", true},
		{"  own", t.OwnUS, "whole processing time on the minion", false},
		{"  network", max(0, t.TripUS-own), network, true},
		{"open", t.OpenUS, "task without an answer from " + t.Minion, false},
		{"collect", t.CollectUS, "host, until the minion's response was processed", true},
		{"pause", t.PauseUS, "part of queue, trip or open while the host was paused", false},
		// Peer is the job's owner or the host that dispatched the job.
		{"owner", t.PeerTripUS, "waiting for the answer of the owner or dispatching host " + t.Peer, false},
		{"  held", t.PeerHeldUS, "processing time on that host", false},
		{"total", t.TotalUS, "from acceptance to the answer", true},
		{"encode", t.EncodeUS, "host, encoding the answer", false},
		{"write", t.WriteUS, "caller reading the answer", false},
	}
}

// describeVerdict returns the verdict as a sentence.
func describeVerdict(v *job.Verdict) string {
	text := map[job.Part]string{
		job.PartNetwork:   "The network was slow: %s took longer than its recent round trips.",
		job.PartQueue:     "The job waited for a free slot on host %s; neither the network nor a minion was slow.",
		job.PartMinionRun: "The run on minion %s was slow; neither the network nor the queue was.",
		job.PartStraggler: "Minion %s is a straggler: its run took far longer than those of other minions at the time.",
		job.PartControl:   "Finding the owner of the key was slow, on host %s.",
		job.PartCaller:    "The caller of team %s sent its request or read its answer slowly.",
		job.PartHost:      "Host %s itself was slow: it was paused, or work waited in its ring buffers.",
		job.PartUnknown:   "Unknown: measurements are missing (minion %q did not report its processing time, or no answer arrived).",
	}[v.Part]
	if text == "" {
		return "No verdict."
	}
	return fmt.Sprintf("Verdict: "+text+" %.0f%% of the answer's time.", v.Where, 100*v.Share)
}
