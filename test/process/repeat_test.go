package process

import (
	"encoding/json"
	"net/http"
	"sync"
	"testing"

	"github.com/laburnumwalk/laburnumwalk/internal/api"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
	"github.com/shoenig/test/must"
)

// twoHosts starts two hosts of one failure domain with one minion and waits until
// they are connected.
func twoHosts(t *testing.T) (h1, h2 *host) {
	t.Helper()
	a := hostSettings(t, "a-1", "a")
	b := hostSettings(t, "a-2", "a")
	makeAllPeers(&a, &b)
	h1, h2 = startHost(t, a), startHost(t, b)
	startMinion(t, "m1", "a", h1)
	h1.awaitMinions(t, 1)
	h2.awaitMinions(t, 1)
	h1.awaitPeers(t, 1)
	h2.awaitPeers(t, 1)
	return h1, h2
}

// awaitPeers waits until exactly n peers are reachable from the host.
func (h *host) awaitPeers(t *testing.T, n int) {
	t.Helper()
	eventually(t, "peers reachable", func() bool {
		s, err := h.status()
		up := 0
		for _, p := range s.Hosts {
			if p.Up {
				up++
			}
		}
		return err == nil && up == n
	})
}

// awaitJob waits until the host has exactly one active job.
func (h *host) awaitJob(t *testing.T) {
	t.Helper()
	eventually(t, "job in progress", func() bool {
		s, err := h.status()
		return err == nil && s.ActiveJobs == 1
	})
}

// sendCallerRequest sends a request without a body to the host's caller API and
// decodes the answer, whatever its HTTP status.
func (h *host) sendCallerRequest(t *testing.T, method, path string) api.JobResponse {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+h.settings.Listen.Callers+path, nil)
	must.NoError(t, err)
	resp, err := http.DefaultClient.Do(req)
	must.NoError(t, err)
	defer resp.Body.Close()
	var r api.JobResponse
	must.NoError(t, json.NewDecoder(resp.Body).Decode(&r))
	return r
}

// withAttempt returns r as the given attempt.
func withAttempt(r api.SubmitRequest, attempt int) api.SubmitRequest {
	r.Attempt = attempt
	return r
}

// mustBeSameAnswer requires that the answer fetched from another host equals the
// owner's answer (own), except for the timings of the fetching request itself:
// the search for the owner and the round trip to it.
func mustBeSameAnswer(t *testing.T, own, fetched *api.JobResponse, owner string) {
	t.Helper()
	must.Eq(t, owner, fetched.Timing.Peer)
	must.Positive(t, fetched.Timing.PeerTripUS)
	must.Positive(t, fetched.Timing.ControlUS)
	must.Eq(t, own.Timing.Verdict.Where, fetched.Timing.Verdict.Where)
	timing := *fetched.Timing
	timing.Peer, timing.PeerTripUS, timing.PeerHeldUS = own.Timing.Peer, own.Timing.PeerTripUS, own.Timing.PeerHeldUS
	timing.ControlUS = own.Timing.ControlUS
	timing.Verdict.Share = own.Timing.Verdict.Share
	same := *fetched
	same.Timing = &timing
	must.Eq(t, *own, same)
}

// A repetition at another host gets the owner's answer, and the job runs once.
func TestRepetitionAttachesToOwner(t *testing.T) {
	h1, h2 := twoHosts(t)
	req := newRequest("k", "sleep 500ms", "one")
	var wg sync.WaitGroup
	var first api.JobResponse
	wg.Go(func() { first, _ = h1.submit(req) })
	h1.awaitJob(t)
	second, err := h2.submit(withAttempt(req, 2))
	must.NoError(t, err)
	wg.Wait()
	must.Eq(t, result.OK, first.Code)
	mustBeSameAnswer(t, &first, &second, "a-1")
	other := withAttempt(req, 2)
	other.Service = "other"
	conflict, err := h2.submit(other)
	must.NoError(t, err)
	must.Eq(t, result.KeyConflict, conflict.Code)
}

// A repetition whose key no host has seen runs at the host where it arrives. The
// delayed first attempt is then refused at every other host.
func TestLateFirstAttemptIsFenced(t *testing.T) {
	h1, h2 := twoHosts(t)
	req := newRequest("k", "one")
	second, err := h2.submit(withAttempt(req, 2))
	must.NoError(t, err)
	must.Eq(t, result.OK, second.Code)
	first, err := h1.submit(req)
	must.NoError(t, err)
	must.Eq(t, result.OwnerUnknown, first.Code)
}

// After the owner of a key was killed, a repetition is answered with a code of
// class "may have run".
func TestRepetitionAfterOwnerIsKilled(t *testing.T) {
	h1, h2 := twoHosts(t)
	req := newRequest("k", "sleep 10s")
	go func() { _, _ = h1.submit(req) }()
	h1.awaitJob(t)
	h1.kill()
	r, err := h2.submit(withAttempt(req, 2))
	must.NoError(t, err)
	must.Eq(t, result.OwnerUnknown, r.Code)
	must.Eq(t, "may have run", r.Class)
}

// A job can be fetched and cancelled at any host of its region.
func TestFetchAndCancelAtAnotherHost(t *testing.T) {
	h1, h2 := twoHosts(t)
	go func() { _, _ = h1.submit(newRequest("k", "sleep 10s")) }()
	h1.awaitJob(t)
	must.Eq(t, result.JobPending, h2.sendCallerRequest(t, "GET", "/v1/jobs/team/k?wait=false").Code)
	must.Eq(t, result.CancelledRan, h2.sendCallerRequest(t, "DELETE", "/v1/jobs/team/k").Code)
	must.Eq(t, result.CancelledRan, h2.sendCallerRequest(t, "GET", "/v1/jobs/team/k").Code)
	must.Eq(t, result.JobUnknown, h2.sendCallerRequest(t, "GET", "/v1/jobs/team/unknown").Code)
}

// A repetition is answered by its own deadline, also if the job that it attached
// to has a later one.
func TestRepetitionIsAnsweredByItsDeadline(t *testing.T) {
	h1, _ := twoHosts(t)
	req := newRequest("k", "sleep 10s")
	go func() { _, _ = h1.submit(req) }()
	h1.awaitJob(t)
	repetition := withAttempt(req, 2)
	repetition.DeadlineMS = 50
	r, err := h1.submit(repetition)
	must.NoError(t, err)
	must.Eq(t, result.DeadlineUnknown, r.Code)
}
