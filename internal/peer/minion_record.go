package peer

import (
	"net/netip"

	"github.com/pkg/errors"
)

// Bounds of a minion's record. Sums over all minions of a host, and their products with
// run times in milliseconds, stay far below the range of an int64.
const (
	maxMinionCPU          = 1 << 30 // thousandths of a processor
	maxMinionMemoryMB     = 1 << 40
	maxMinionAccelerators = 1 << 20
	maxMinionText         = 256 // bytes of an ID, a name or a label
	maxMinionLabels       = 64
	maxExactInteger       = 1 << 53 // largest integer up to which every JSON reader is exact
)

// Check reports why a record can't describe a minion, or nil. Every host checks the
// records that it receives, from minions and from other hosts.
func (r *MinionRecord) Check() error {
	for _, text := range append([]string{r.ID, r.Service, r.FailureDomain}, r.Labels...) {
		if !isPlainText(text) {
			return errors.Errorf("ID, service, failure domain or label %.20q: want 1 to %d printable characters", text, maxMinionText)
		}
	}
	if len(r.Labels) > maxMinionLabels {
		return errors.Errorf("%d labels, want at most %d", len(r.Labels), maxMinionLabels)
	}
	if a, err := netip.ParseAddrPort(r.Address); err != nil || a.Port() == 0 || a.Addr().Zone() != "" {
		return errors.Errorf("address %.40q: want an IP address and a port", r.Address)
	}
	if r.CPU < 1 || r.CPU > maxMinionCPU || r.MemoryMB < 1 || r.MemoryMB > maxMinionMemoryMB || r.Accelerators < 0 || r.Accelerators > maxMinionAccelerators {
		return errors.Errorf("capacity %d, %d, %d is out of range", r.CPU, r.MemoryMB, r.Accelerators)
	}
	if r.Slots < 0 || r.Slots > maxExactInteger || r.Version != "" && !isPlainText(r.Version) {
		return errors.Errorf("%d slots or version %.20q: out of range", r.Slots, r.Version)
	}
	if r.Seq > maxExactInteger || r.Incarnation < 0 || r.Incarnation > maxExactInteger || r.ColdUntilMS < 0 || r.ColdUntilMS > maxExactInteger {
		return errors.Errorf("sequence number %d, start time %d or cold time %d is out of range", r.Seq, r.Incarnation, r.ColdUntilMS)
	}
	return nil
}

// isPlainText reports whether s has 1 to maxMinionText bytes, all of them printable
// ASCII characters, so that it can be part of an HTTP header.
func isPlainText(s string) bool {
	for i := range len(s) {
		if s[i] < ' ' || s[i] > '~' {
			return false
		}
	}
	return s != "" && len(s) <= maxMinionText
}
