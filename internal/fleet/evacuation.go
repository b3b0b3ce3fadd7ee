package fleet

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/laburnumwalk/laburnumwalk/internal/control"
	"github.com/laburnumwalk/laburnumwalk/internal/event"
	"github.com/laburnumwalk/laburnumwalk/internal/queue"
	"github.com/laburnumwalk/laburnumwalk/internal/register"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
	"github.com/pkg/errors"
)

// ErrUnknownDomain is returned for an order about a failure domain that the setting
// failure_domains does not list.
var ErrUnknownDomain = errors.New("unknown failure domain")

// versions is the part of register.Controller that changes and reads versions.
type versions interface {
	View() *register.View
	ReadNewest(ctx context.Context) (*register.View, bool)
	Propose(ctx context.Context, p control.Proposal) control.Outcome
}

// Evacuate orders that no more work is sent to the minions of a failure domain. It
// returns nil once the order is in force, also if it was before. It returns
// ErrNoMajority if the outcome is unknown; the order can then be repeated at any
// control host.
func (h *Host) Evacuate(ctx context.Context, domain string) error {
	return h.orderEvacuation(ctx, domain, true)
}

// Restore withdraws the evacuation of a failure domain. Its results are those of
// Evacuate.
func (h *Host) Restore(ctx context.Context, domain string) error {
	return h.orderEvacuation(ctx, domain, false)
}

func (h *Host) orderEvacuation(ctx context.Context, domain string, evacuate bool) error {
	if known := h.settings.FailureDomains; len(known) > 0 && !slices.Contains(known, domain) {
		h.logEvent(event.EvacuationRefused, slog.String("failure_domain", domain), slog.Any("known", known))
		return ErrUnknownDomain
	}
	err := changeDocument(ctx, h.control, h.self.Name, func(known *queue.Document) *queue.Document {
		return withEvacuation(known, domain, evacuate)
	})
	if err != nil {
		h.logEvent(event.NoMajority, slog.String("failure_domain", domain), slog.Bool("evacuate", evacuate), slog.String("error", err.Error()))
		return err
	}
	h.logEvent(event.EvacuationOrdered, slog.String("failure_domain", domain), slog.Bool("evacuate", evacuate), slog.Uint64("version", h.control.View().Version))
	return nil
}

// Evacuations returns the evacuated failure domains of a version that was the newest at
// some time during the call, as confirmed by a majority of the control hosts. It
// returns ErrNoMajority if no majority answers.
func (h *Host) Evacuations(ctx context.Context) ([]string, error) {
	v, ok := h.control.ReadNewest(ctx)
	if !ok {
		return nil, ErrNoMajority
	}
	d, err := decodeVersion(v)
	if err != nil {
		return nil, err
	}
	return d.Evacuations, nil
}

// withEvacuation returns a copy of a document in which the failure domain is evacuated or
// not; nil if the document is so already.
func withEvacuation(d *queue.Document, domain string, evacuate bool) *queue.Document {
	i, found := slices.BinarySearch(d.Evacuations, domain)
	if found == evacuate {
		return nil
	}
	next := *d
	if evacuate {
		next.Evacuations = slices.Insert(slices.Clone(d.Evacuations), i, domain)
	} else {
		next.Evacuations = slices.Delete(slices.Clone(d.Evacuations), i, i+1)
	}
	return &next
}

// decodeVersion returns the document of a version, an empty one at version 0.
func decodeVersion(v *register.View) (*queue.Document, error) {
	if v.Record == nil {
		return &queue.Document{}, nil
	}
	return queue.Decode(v.Record)
}

// changeDocument replaces the newest version by what change returns for it. If another
// version is chosen first, it starts again from that one, so that no concurrent change is
// lost. If change returns nil, nothing is to be changed: this is confirmed by a read of the
// newest version. The result is ErrNoMajority if the outcome is unknown.
func changeDocument(ctx context.Context, versions versions, operator string, change func(known *queue.Document) *queue.Document) error {
	for ctx.Err() == nil {
		v := versions.View()
		known, err := decodeVersion(v)
		if err != nil {
			return err
		}
		next := change(known)
		if next == nil && v.Record != nil {
			confirmed, err := confirmUnchanged(ctx, versions, change)
			if confirmed || err != nil {
				return err
			}
			continue
		}
		if next == nil {
			next = known // there is no version yet that a read could confirm
		}
		encoded, err := next.Encode()
		if err != nil {
			return err
		}
		o := versions.Propose(ctx, control.Proposal{Command: uuid.NewString(), Operator: operator, Base: v.Version, Document: encoded})
		switch o.Code {
		case result.OK:
			return nil
		case result.VersionTaken, result.PlanStale:
			continue // another proposal was chosen first
		default:
			return errors.WithMessage(ErrNoMajority, o.Detail)
		}
	}
	return ErrNoMajority
}

// settledPollInterval is the interval at which confirmUnchanged looks whether the control
// group has settled.
const settledPollInterval = 20 * time.Millisecond

// confirmUnchanged reports whether the newest version needs no change either. The control
// group has settled before a majority confirms that version, so that it certainly stays
// readable.
func confirmUnchanged(ctx context.Context, versions versions, change func(known *queue.Document) *queue.Document) (bool, error) {
	for !versions.View().Settled {
		select {
		case <-ctx.Done():
			return false, ErrNoMajority
		case <-time.After(settledPollInterval):
		}
	}
	v, ok := versions.ReadNewest(ctx)
	if !ok {
		return false, ErrNoMajority
	}
	known, err := decodeVersion(v)
	if err != nil {
		return false, err
	}
	return change(known) == nil, nil
}

// DomainSize is the size of a failure domain, as far as this host knows. A control host
// knows the minions of all failure domains, an entry host those of its own.
type DomainSize struct {
	Domain     string
	EntryHosts int
	Minions    int
	CPU        int64 // of all minions, in thousandths of a processor
}

// FailureDomains returns the sizes of the known failure domains, sorted by name. It fails
// if the core does not answer before ctx ends.
func (h *Host) FailureDomains(ctx context.Context) ([]DomainSize, error) {
	out := make(chan []DomainSize, 1)
	if !h.enqueue(func(time.Time) { out <- h.core.domainSizes(h.settings.FailureDomains) }) {
		return nil, errors.New("the host is busy")
	}
	select {
	case sizes := <-out:
		return sizes, nil
	case <-ctx.Done():
		return nil, errors.New("the host is busy")
	}
}
