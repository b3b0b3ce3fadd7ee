package emulator

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/job"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
	"github.com/shoenig/test/must"
)

const fixedSeeds = 40 // seeds 0 to 39 run in CI

// No task starts twice, every complete answer holds the results of its own
// request, the class of every answer matches what ran, and every answer arrives
// by its deadline, under lost, delayed and duplicated messages, repeated
// submissions, killed, restarted and frozen processes, network partitions,
// shutdowns and cancellations.
func TestAtMostOnceUnderFaults(t *testing.T) {
	codes := map[result.Code]int{}
	var latest time.Duration
	for seed := range uint64(fixedSeeds) {
		c := newChaos(t, seed)
		c.run()
		c.addCodes(codes)
		latest = max(latest, c.latestUnavailableStart)
	}
	t.Logf("answers by code: %v", codes)
	t.Logf("latest start sent to an unavailable minion: %v after it became unavailable", latest)
	for _, code := range []result.Code{
		result.OK, result.QueueFull, result.KeyConflict, result.DeadlineNotRun, result.CancelledNotRun, result.TaskFailed, result.DeadlineRan,
		result.CancelledRan, result.OwnerUnknown, result.StartUnknown, result.DeadlineUnknown, result.CancelledUnknown,
	} {
		must.Positive(t, codes[code], must.Sprintf("no answer with code %d", code))
	}
}

const (
	soakVariable = "LW_SOAK" // total duration of the runs, for example "10m"
	seedVariable = "LW_SEED" // seed of a single run, to reproduce a failure
)

func TestOneSeed(t *testing.T) {
	text := os.Getenv(seedVariable)
	if text == "" {
		t.Skip("set " + seedVariable + " to a seed")
	}
	seed, err := strconv.ParseUint(text, 10, 64)
	must.NoError(t, err)
	newChaos(t, seed).run()
}

// Runs consecutive seeds, the first taken from the clock, until the duration in
// LW_SOAK has passed. Skipped by default: CI uses fixed seeds only.
func TestSoakAtMostOnce(t *testing.T) {
	text := os.Getenv(soakVariable)
	if text == "" {
		t.Skip("set " + soakVariable + " to a duration")
	}
	duration, err := time.ParseDuration(text)
	must.NoError(t, err)
	begin := time.Now()
	seed := uint64(begin.UnixNano())
	runs := 0
	for ; time.Since(begin) < duration; seed++ {
		t.Logf("seed %d", seed)
		newChaos(t, seed).run()
		runs++
	}
	t.Logf("%d runs", runs)
}

// Two runs of one seed are identical, so that a failure can be reproduced.
func TestSameSeedGivesSameRun(t *testing.T) {
	for seed := range uint64(5) {
		a, b := newChaos(t, seed), newChaos(t, seed)
		a.run()
		b.run()
		must.Eq(t, a.codes, b.codes)
		must.Eq(t, a.Counters, b.Counters)
	}
}

// A failure domain that is partitioned from all others runs first attempts on
// its own minions and attaches repetitions of keys that it owns. A repetition
// whose job may have run in another failure domain is answered with
// OwnerUnknown by its deadline.
func TestCutOffDomainServes(t *testing.T) {
	c := newChaos(t, 1)
	c.Net = Network{MinDelay: 100 * time.Microsecond, MaxDelay: 3 * time.Millisecond}
	b := c.Host("b1")
	c.RunUntil(startTime.Add(2 * time.Second))
	c.cutDomain(time.Hour)
	c.RunUntil(startTime.Add(10 * time.Second)) // every lease and peer timeout has expired
	for i := range 50 {
		k := &caller{chaos: c, id: job.ID{Team: "t", Key: fmt.Sprint(i)}, tasks: 1, submittedAt: c.Now()}
		c.After(time.Duration(i)*time.Second, func() {
			k.submittedAt = c.Now()
			k.sendNow(b, 1)
			k.sendNow(b, 2)
		})
		unknown := &caller{chaos: c, id: job.ID{Team: "t", Key: fmt.Sprint("x", i)}, tasks: 1, submittedAt: c.Now()}
		c.After(time.Duration(i)*time.Second, func() {
			unknown.submittedAt = c.Now()
			unknown.sendNow(b, 2)
		})
	}
	c.RunUntil(c.Now().Add(2 * time.Minute))
	c.checkNonePending()
	must.Eq(t, map[result.Code]int{result.OK: 100, result.OwnerUnknown: 50}, c.codes)
}

// sendNow records an attempt and submits it to h without delay.
func (k *caller) sendNow(h *Host, attempt int) {
	s := &submission{id: k.id, attempt: attempt, digest: 1, deadline: maxDeadline}
	k.checker.recordSubmission(s)
	k.submitTo(h, s)
}
