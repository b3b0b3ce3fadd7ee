package engine

// SlotPolicy says how the hosts of a failure domain share its minions' slots.
type SlotPolicy uint8

// Slot policies.
const (
	// SlotsAnywhere lets every host start tasks on every minion, which refuses
	// when it is full.
	SlotsAnywhere SlotPolicy = iota
)
