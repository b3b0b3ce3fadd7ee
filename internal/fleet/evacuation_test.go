package fleet

import (
	"bytes"
	"compress/flate"
	"context"
	"log/slog"
	"testing"

	"github.com/laburnumwalk/laburnumwalk/internal/control"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/laburnumwalk/laburnumwalk/internal/queue"
	"github.com/laburnumwalk/laburnumwalk/internal/register"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
	"github.com/laburnumwalk/laburnumwalk/internal/settings"
	"github.com/shoenig/test/must"
)

// fakeVersions is a register in memory. It runs race before the next proposal, as if
// another control host were faster.
type fakeVersions struct {
	newest     register.View
	race       func()
	noMajority bool
	loseAnswer bool // the next proposal is chosen, but its proposer fails before it answers
}

func (f *fakeVersions) View() *register.View {
	v := f.newest
	v.Settled = true
	return &v
}

func (f *fakeVersions) ReadNewest(context.Context) (*register.View, bool) {
	return f.View(), !f.noMajority && f.newest.Record != nil
}

func (f *fakeVersions) Propose(_ context.Context, p control.Proposal) control.Outcome {
	if race := f.race; race != nil {
		f.race = nil
		race()
	}
	switch {
	case f.noMajority:
		return control.Outcome{Code: result.NoMajority}
	case p.Base+1 == f.newest.Version:
		return control.Outcome{Code: result.VersionTaken}
	case p.Base < f.newest.Version:
		return control.Outcome{Code: result.PlanStale}
	}
	f.newest.Version++
	f.newest.Record = &peer.ConfigRecord{Version: f.newest.Version, Document: packed(p.Document)}
	if f.loseAnswer {
		f.loseAnswer = false
		return control.Outcome{Code: result.NoMajority}
	}
	return control.Outcome{Code: result.OK}
}

// packed compresses an encoded document, as control hosts store it.
func packed(encoded []byte) []byte {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err == nil {
		_, _ = w.Write(encoded) // writes to a buffer return no error
		_ = w.Close()
	}
	return out.Bytes()
}

func (f *fakeVersions) document(t *testing.T) *queue.Document {
	d, err := decodeVersion(f.View())
	must.NoError(t, err)
	return d
}

func (f *fakeVersions) order(domain string, evacuate bool) error {
	return changeDocument(context.Background(), f, "o", func(d *queue.Document) *queue.Document { return withEvacuation(d, domain, evacuate) })
}

// Orders must be idempotent, work before the first document, and keep each other.
func TestEvacuationOrders(t *testing.T) {
	f := &fakeVersions{}
	must.NoError(t, f.order("b", false), must.Sprint("withdrawn before anything is known"))
	must.False(t, f.document(t).Declared())
	must.NoError(t, f.order("b", true))
	must.NoError(t, f.order("a", true))
	version := f.newest.Version
	must.NoError(t, f.order("b", true))
	must.Eq(t, version, f.newest.Version, must.Sprint("an order that is in force changes nothing"))
	must.Eq(t, []string{"a", "b"}, f.document(t).Evacuations)
	must.NoError(t, f.order("a", false))
	must.Eq(t, []string{"b"}, f.document(t).Evacuations)
	f.noMajority = true
	must.ErrorIs(t, f.order("b", true), ErrNoMajority, must.Sprint("an order in force is acknowledged only if a majority confirms it"))
	must.ErrorIs(t, f.order("c", true), ErrNoMajority)
}

// A control host that fails after its proposal was chosen leaves the operator without an
// answer. The order that is sent again must be acknowledged, whatever was chosen since.
func TestOrderIsResentAfterALostAnswer(t *testing.T) {
	f := &fakeVersions{loseAnswer: true}
	must.ErrorIs(t, f.order("a", true), ErrNoMajority)
	must.NoError(t, f.order("b", true))
	must.NoError(t, f.order("a", true))
	must.Eq(t, []string{"a", "b"}, f.document(t).Evacuations)
	must.Eq(t, 2, f.newest.Version)
}

// A manifest and an evacuation that are declared at the same time must both last,
// whichever is chosen first.
func TestRacingChangesKeepEachOther(t *testing.T) {
	declare := func(f *fakeVersions, version uint64) error {
		return changeDocument(context.Background(), f, "o", declaration(&queue.Document{Version: version, Source: []byte("s")}))
	}
	f := &fakeVersions{}
	f.race = func() { must.NoError(t, f.order("a", true)) }
	must.NoError(t, declare(f, 7))
	f.race = func() { must.NoError(t, declare(f, 8)) }
	must.NoError(t, f.order("b", true))
	f.race = func() { must.NoError(t, f.order("a", false)) }
	must.NoError(t, declare(f, 9))
	must.NoError(t, declare(f, 8), must.Sprint("not newer: changes nothing"))
	d := f.document(t)
	must.Eq(t, 9, d.Version)
	must.Eq(t, []string{"b"}, d.Evacuations)
}

// An order about a failure domain that does not exist must be refused: it would change
// nothing where the operator means to act.
func TestUnknownFailureDomainIsRefused(t *testing.T) {
	h := &Host{log: slog.New(slog.DiscardHandler), settings: settings.Fleet{FailureDomains: []string{"a", "b"}}}
	must.ErrorIs(t, h.Evacuate(context.Background(), "c"), ErrUnknownDomain)
	must.ErrorIs(t, h.Restore(context.Background(), "c"), ErrUnknownDomain)
}
