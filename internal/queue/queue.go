// Package queue defines the document that operators declare for hosts with leased
// minions: the queues that callers submit jobs to, and the services that run them.
package queue

import (
	"encoding/json"
	"net"
	"path"
	"slices"
	"strings"

	"github.com/laburnumwalk/laburnumwalk/internal/control"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/pkg/errors"
)

// Document is one version of the queues and services that operators declare.
type Document struct {
	Version  uint64    `json:"version"` // chosen by the operator; rises, not always by 1
	Queues   []Queue   `json:"queues"`
	Services []Service `json:"services"`
	Source   []byte    `json:"source"` // the document as the operator sent it
	// Evacuations are the failure domains whose minions get no work, sorted. They are
	// changed by orders of their own; a newly declared document takes over those of its base.
	Evacuations []string `json:"evacuations,omitempty"`
}

// Declared reports whether an operator has declared the document. Otherwise it holds
// only evacuations, which were ordered before the first document.
func (d *Document) Declared() bool { return d.Version > 0 || len(d.Source) > 0 }

// HasService reports whether the document names the service.
func (d *Document) HasService(name string) bool {
	return slices.ContainsFunc(d.Services, func(s Service) bool { return s.Name == name })
}

// Queue accepts jobs for one service. A request belongs to it by its host name and
// path prefix.
type Queue struct {
	Name       string `json:"name"`
	Host       string `json:"host"`
	Prefix     string `json:"prefix"`
	Service    string `json:"service"`
	Priority   int    `json:"priority"`    // 0 is the highest
	Attempts   int    `json:"attempts"`    // failed runs of a task after which its job fails
	StretchPct int64  `json:"stretch_pct"` // part of the objective that grows with the job, in percent of the critical path of its tasks
	AddMS      int64  `json:"add_ms"`      // constant part of the objective, in milliseconds
	TimeoutMS  int64  `json:"timeout_ms"`  // deadline of jobs whose caller names none
}

// Service is a set of minions that run the same kind of tasks.
type Service struct {
	Name           string `json:"name"`
	GuardsCapacity bool   `json:"guards_capacity"` // its minions refuse tasks that exceed their free capacity
}

// Saturate replaces numbers beyond the bounds by the nearest ones within them. An operator
// who wants no limit declares the largest number that comes to mind. A timeout that is not
// positive is left for Check to refuse.
func (q *Queue) Saturate() {
	peer.SaturateTerms(&q.Attempts, &q.StretchPct, &q.AddMS)
	q.TimeoutMS = min(q.TimeoutMS, peer.MaxTimeMS)
}

// Check reports why a document can't have this queue, or nil.
func (q *Queue) Check() error {
	if err := peer.CheckTerms(q.Attempts, q.StretchPct, q.AddMS); err != nil {
		return err
	}
	if q.TimeoutMS <= 0 || q.TimeoutMS > peer.MaxTimeMS {
		return errors.Errorf("timeout is %d, want 1 to %d", q.TimeoutMS, peer.MaxTimeMS)
	}
	return checkPrefix(q.Prefix)
}

// checkPrefix reports why no request's path can begin with the prefix, or nil. Paths are
// compared after escapes are decoded, and empty, "." and ".." elements are removed.
func checkPrefix(prefix string) error {
	clean := path.Clean(prefix)
	if strings.HasSuffix(prefix, "/") && clean != "/" {
		clean += "/"
	}
	if !strings.HasPrefix(prefix, "/") || prefix != clean || strings.Contains(prefix, "%") {
		return errors.Errorf("prefix %.100q: want a path that begins with /, without escapes and without empty, \".\" or \"..\" elements", prefix)
	}
	return nil
}

// Encode returns the document as JSON, the form in which control hosts store it.
func (d *Document) Encode() ([]byte, error) {
	b, err := json.Marshal(d)
	return b, errors.Wrap(err, "encode queue document")
}

// Decode returns the document that a configuration record contains.
func Decode(r *peer.ConfigRecord) (*Document, error) {
	b, err := control.Document(r)
	if err != nil {
		return nil, err
	}
	var d Document
	if err := json.Unmarshal(b, &d); err != nil {
		return nil, errors.Wrapf(err, "decode queue document of version %d", r.Version)
	}
	return &d, nil
}

// Find returns the queue of a request and the rest of its path: of the queues for the
// host whose prefix the path begins with, the one with the longest prefix. It returns
// nil if there is none.
func (d *Document) Find(host, path string) (q *Queue, rest string) {
	name := hostName(host)
	for i := range d.Queues {
		c := &d.Queues[i]
		if (sameHost(c.Host, name) || sameHost(c.Host, host)) && strings.HasPrefix(path, c.Prefix) && (q == nil || len(c.Prefix) > len(q.Prefix)) {
			q = c
		}
	}
	if q == nil {
		return nil, ""
	}
	return q, path[len(q.Prefix):]
}

// hostName returns a request's host without its port.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// sameHost compares host names as DNS does: without regard to case and to the dot that ends a
// fully qualified name.
func sameHost(a, b string) bool {
	return strings.EqualFold(strings.TrimSuffix(a, "."), strings.TrimSuffix(b, "."))
}

// HostKey returns a form of a queue's host that is equal for hosts that are the same.
func HostKey(host string) string { return strings.ToLower(strings.TrimSuffix(host, ".")) }
