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

const fixedSeeds = 40 // runs in CI

// No task starts twice, every complete answer is its own, each class of answer
// is true, and each is on time, under lost, late and doubled messages, repeated
// submissions, deaths, restarts, freezes, cuts, stops and cancellations.
func TestAtMostOnceUnderFaults(t *testing.T) {
	codes := map[result.Code]int{}
	var quiet time.Duration
	for seed := range uint64(fixedSeeds) {
		c := newChaos(t, seed)
		c.run()
		c.seen(codes)
		quiet = max(quiet, c.maxQuiet)
	}
	t.Logf("answers by code: %v", codes)
	t.Logf("latest start to a quiet minion: %v", quiet)
	for _, code := range []result.Code{
		result.OK, result.QueueFull, result.KeyConflict, result.DeadlineNotRun, result.CancelledNotRun, result.TaskFailed, result.DeadlineRan,
		result.CancelledRan, result.OwnerUnknown, result.StartUnknown, result.DeadlineUnknown, result.CancelledUnknown,
	} {
		must.Positive(t, codes[code], must.Sprintf("code %d was never seen", code))
	}
}

const (
	soakVariable = "LW_SOAK" // duration of open-ended runs, for example "10m"
	seedVariable = "LW_SEED" // seed of a single run, to repeat a failure
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

// Runs seeds from the clock until the duration in the environment has passed.
// It does nothing by default: CI uses fixed seeds only.
func TestSoakAtMostOnce(t *testing.T) {
	text := os.Getenv(soakVariable)
	if text == "" {
		t.Skip("set " + soakVariable + " to a duration")
	}
	length, err := time.ParseDuration(text)
	must.NoError(t, err)
	begin := time.Now()
	seed := uint64(begin.UnixNano())
	runs := 0
	for ; time.Since(begin) < length; seed++ {
		t.Logf("seed %d", seed)
		newChaos(t, seed).run()
		runs++
	}
	t.Logf("%d runs", runs)
}

// A seed repeats a run exactly, so that a failure can be looked into.
func TestSeedRepeatsTheRun(t *testing.T) {
	for seed := range uint64(5) {
		a, b := newChaos(t, seed), newChaos(t, seed)
		a.run()
		b.run()
		must.Eq(t, a.codes, b.codes)
		must.Eq(t, a.Counters, b.Counters)
	}
}

// A failure domain that is cut off from all others serves first attempts on
// its own minions, and attaches repetitions of its own keys; a repetition that
// may have run elsewhere is told so by its deadline.
func TestCutOffDomainServes(t *testing.T) {
	c := newChaos(t, 1)
	c.Net = Network{MinDelay: 100 * time.Microsecond, MaxDelay: 3 * time.Millisecond}
	b := c.Host("b1")
	c.RunUntil(start.Add(2 * time.Second))
	c.cutDomain(time.Hour)
	c.RunUntil(start.Add(10 * time.Second)) // every lease and peer timeout has passed
	for i := range 50 {
		k := &caller{chaos: c, id: job.ID{Team: "t", Key: fmt.Sprint(i)}, tasks: 1, submittedAt: c.Now()}
		c.After(time.Duration(i)*time.Second, func() {
			k.submittedAt = c.Now()
			k.sendTo(b, 1)
			k.sendTo(b, 2)
		})
		unknown := &caller{chaos: c, id: job.ID{Team: "t", Key: fmt.Sprint("x", i)}, tasks: 1, submittedAt: c.Now()}
		c.After(time.Duration(i)*time.Second, func() {
			unknown.submittedAt = c.Now()
			unknown.sendTo(b, 2)
		})
	}
	c.RunUntil(c.Now().Add(2 * time.Minute))
	c.finish()
	must.Eq(t, map[result.Code]int{result.OK: 100, result.OwnerUnknown: 50}, c.codes)
}

// sendTo delivers an attempt at once.
func (k *caller) sendTo(h *Host, attempt int) {
	s := &submitted{id: k.id, attempt: attempt, digest: 1, deadline: maxDeadline}
	k.ledger.send(s)
	k.deliver(h, s)
}
