package fleet

// simVersion is the version of the document that a simulated host has applied.
type simVersion struct {
	version     uint64
	evacuations []string
}
