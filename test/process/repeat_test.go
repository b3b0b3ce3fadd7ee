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

// twoHosts starts two hosts of one failure domain with one minion.
func twoHosts(t *testing.T) (h1, h2 *host) {
	t.Helper()
	a := hostSettings(t, "a-1", "a")
	b := hostSettings(t, "a-2", "a")
	joinAll(&a, &b)
	h1, h2 = startHost(t, a), startHost(t, b)
	startMinion(t, "m1", "a", h1)
	h1.awaitMinions(t, 1)
	h2.awaitMinions(t, 1)
	h1.awaitPeers(t, 1)
	h2.awaitPeers(t, 1)
	return h1, h2
}

// awaitPeers waits until the host sees n reachable peers.
func (h *host) awaitPeers(t *testing.T, n int) {
	t.Helper()
	eventually(t, "peers up", func() bool {
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

// awaitJob waits until the host has a job in progress.
func (h *host) awaitJob(t *testing.T) {
	t.Helper()
	eventually(t, "job in progress", func() bool {
		s, err := h.status()
		return err == nil && s.ActiveJobs == 1
	})
}

// request sends a request without a body about a job.
func (h *host) request(t *testing.T, method, path string) api.JobResponse {
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

func again(r api.SubmitRequest, attempt int) api.SubmitRequest {
	r.Attempt = attempt
	return r
}

// mustBeSameAnswer requires that fetched is own's answer with the legs of its
// own request: the search for the owner and the way to it.
func mustBeSameAnswer(t *testing.T, own, fetched *api.JobResponse, owner string) {
	t.Helper()
	must.Eq(t, owner, fetched.Timing.Peer)
	must.Positive(t, fetched.Timing.PeerTripUS)
	must.Positive(t, fetched.Timing.ControlUS)
	must.Eq(t, own.Timing.Verdict.Where, fetched.Timing.Verdict.Where)
	legs := *fetched.Timing
	legs.Peer, legs.PeerTripUS, legs.PeerHeldUS = own.Timing.Peer, own.Timing.PeerTripUS, own.Timing.PeerHeldUS
	legs.ControlUS = own.Timing.ControlUS
	legs.Verdict.Share = own.Timing.Verdict.Share
	same := *fetched
	same.Timing = &legs
	must.Eq(t, *own, same)
}

// A repetition at another host gets the owner's answer, and its work runs once.
func TestRepetitionAttachesToOwner(t *testing.T) {
	h1, h2 := twoHosts(t)
	req := newRequest("k", "sleep 500ms", "one")
	var wg sync.WaitGroup
	var first api.JobResponse
	wg.Go(func() { first, _ = h1.submit(req) })
	h1.awaitJob(t)
	second, err := h2.submit(again(req, 2))
	must.NoError(t, err)
	wg.Wait()
	must.Eq(t, result.OK, first.Code)
	mustBeSameAnswer(t, &first, &second, "a-1")
	other := again(req, 2)
	other.Service = "other"
	conflict, err := h2.submit(other)
	must.NoError(t, err)
	must.Eq(t, result.KeyConflict, conflict.Code)
}

// A repetition that no host has seen runs where it arrives, and the delayed
// first attempt is refused at every other host from then on.
func TestLateFirstAttemptIsFenced(t *testing.T) {
	h1, h2 := twoHosts(t)
	req := newRequest("k", "one")
	second, err := h2.submit(again(req, 2))
	must.NoError(t, err)
	must.Eq(t, result.OK, second.Code)
	first, err := h1.submit(req)
	must.NoError(t, err)
	must.Eq(t, result.OwnerUnknown, first.Code)
}

// After the owner's death a repetition is told that the work may have run.
func TestRepetitionAfterOwnersDeath(t *testing.T) {
	h1, h2 := twoHosts(t)
	req := newRequest("k", "sleep 10s")
	go func() { _, _ = h1.submit(req) }()
	h1.awaitJob(t)
	h1.kill()
	r, err := h2.submit(again(req, 2))
	must.NoError(t, err)
	must.Eq(t, result.OwnerUnknown, r.Code)
	must.Eq(t, "may have run", r.Class)
}

// Fetch and cancel work at any host of the region.
func TestFetchAndCancelAtAnotherHost(t *testing.T) {
	h1, h2 := twoHosts(t)
	go func() { _, _ = h1.submit(newRequest("k", "sleep 10s")) }()
	h1.awaitJob(t)
	must.Eq(t, result.JobPending, h2.request(t, "GET", "/v1/jobs/team/k?wait=false").Code)
	must.Eq(t, result.CancelledRan, h2.request(t, "DELETE", "/v1/jobs/team/k").Code)
	must.Eq(t, result.CancelledRan, h2.request(t, "GET", "/v1/jobs/team/k").Code)
	must.Eq(t, result.JobUnknown, h2.request(t, "GET", "/v1/jobs/team/unknown").Code)
}

// A repetition is answered by its own deadline, also when the job that it
// joined has a later one.
func TestRepetitionIsAnsweredByItsDeadline(t *testing.T) {
	h1, _ := twoHosts(t)
	req := newRequest("k", "sleep 10s")
	go func() { _, _ = h1.submit(req) }()
	h1.awaitJob(t)
	hasty := again(req, 2)
	hasty.DeadlineMS = 50
	r, err := h1.submit(hasty)
	must.NoError(t, err)
	must.Eq(t, result.DeadlineUnknown, r.Code)
}
