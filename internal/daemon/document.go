package daemon

import (
	"encoding/json"

	"github.com/laburnumwalk/laburnumwalk/internal/config"
	"github.com/laburnumwalk/laburnumwalk/internal/control"
	"github.com/laburnumwalk/laburnumwalk/internal/peer"
	"github.com/pkg/errors"
)

// decodeRecord returns the document of a configuration version. The control hosts
// in it are those of the record's group, which chooses the next version.
func decodeRecord(r *peer.ConfigRecord) (*config.Document, error) {
	document, err := control.Document(r)
	if err != nil {
		return nil, err
	}
	var d config.Document
	if err := json.Unmarshal(document, &d); err != nil {
		return nil, errors.WithStack(err)
	}
	d.ControlHosts = make([]config.ControlHost, len(r.Group))
	for i, g := range r.Group {
		d.ControlHosts[i] = config.ControlHost(g)
	}
	return &d, nil
}

// controlGroup returns the control hosts that a document names, or nil if it names
// none.
func controlGroup(document []byte) ([]peer.ControlMember, error) {
	var d config.Document
	if err := json.Unmarshal(document, &d); err != nil {
		return nil, errors.Wrap(err, "document")
	}
	var group []peer.ControlMember
	for _, h := range d.ControlHosts {
		group = append(group, peer.ControlMember(h))
	}
	return group, nil
}
