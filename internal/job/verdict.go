package job

// Part is one of the parts into which the time of an answer is split.
type Part string

// Parts of a Verdict.
const (
	PartNetwork   Part = "network"    // round trip of a link, compared with its recent round trips
	PartQueue     Part = "queue"      // waiting for a slot
	PartMinionRun Part = "minion run" // run time of the service on the minion
	PartStraggler Part = "straggler"  // run that took far longer than on other minions
	PartControl   Part = "control"    // locating the owner of the key
	PartCaller    Part = "caller"     // the caller sending the request or reading the answer
	PartHost      Part = "host"       // waiting in the entry host's ring buffers, and pauses of its process
	PartUnknown   Part = "unknown"    // not attributable: measurements are missing
)

// Verdict names the part that delayed an answer most.
type Verdict struct {
	Part  Part    `json:"part" msgpack:"p"`
	Where string  `json:"where" msgpack:"w"` // name of the link, minion, host or team
	Share float64 `json:"share" msgpack:"s"` // fraction of the answer's total time, 0 to 1
}
