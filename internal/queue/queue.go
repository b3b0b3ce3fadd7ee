// Package queue defines the document that operators declare for hosts with
// leased minions: the queues that callers submit jobs to, and the services
// that run them.
package queue

import (
	"encoding/json"
	"strings"

	"github.com/laburnumwalk/laburnumwalk/internal/control"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/pkg/errors"
)

// Document is one version of what operators declare.
type Document struct {
	Version  uint64    `json:"version"` // the operator's number; rises in uneven steps
	Queues   []Queue   `json:"queues"`
	Services []Service `json:"services"`
	Source   []byte    `json:"source"` // as the operator sent it
}

// Queue takes jobs under a host name and a path prefix.
type Queue struct {
	Name       string `json:"name"`
	Host       string `json:"host"`
	Prefix     string `json:"prefix"`
	Service    string `json:"service"`
	Priority   int    `json:"priority"`    // 0 comes first
	Attempts   int    `json:"attempts"`    // failed runs of a task after which its job fails
	StretchPct int64  `json:"stretch_pct"` // objective, in hundredths of the longest chain of work
	AddMS      int64  `json:"add_ms"`      // and milliseconds beside that
	TimeoutMS  int64  `json:"timeout_ms"`
}

// Service is a kind of minions.
type Service struct {
	Name           string `json:"name"`
	GuardsCapacity bool   `json:"guards_capacity"` // its minions refuse what does not fit
}

// Encode returns the document as control hosts agree on it.
func (d *Document) Encode() ([]byte, error) {
	b, err := json.Marshal(d)
	return b, errors.Wrap(err, "queue document")
}

// Decode returns the document of a record.
func Decode(r *peer.ConfigRecord) (*Document, error) {
	b, err := control.Document(r)
	if err != nil {
		return nil, err
	}
	var d Document
	if err := json.Unmarshal(b, &d); err != nil {
		return nil, errors.Wrapf(err, "queue document of version %d", r.Version)
	}
	return &d, nil
}

// Find returns the queue of a request: that with the longest prefix that the
// path begins with, and the rest of the path; nil: there is none.
func (d *Document) Find(host, path string) (q *Queue, rest string) {
	for i := range d.Queues {
		c := &d.Queues[i]
		if c.Host == host && strings.HasPrefix(path, c.Prefix) && (q == nil || len(c.Prefix) > len(q.Prefix)) {
			q = c
		}
	}
	if q == nil {
		return nil, ""
	}
	return q, path[len(q.Prefix):]
}
