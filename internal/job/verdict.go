package job

// Part is one of the places in which the time of an answer can go.
type Part string

// Parts of a Verdict.
const (
	PartNetwork   Part = "network"    // a link, beyond its recent round trips
	PartQueue     Part = "queue"      // waiting for a slot
	PartMinionRun Part = "minion run" // the service's own run time
	PartStraggler Part = "straggler"  // a run far above those of other minions
	PartControl   Part = "control"    // looking for the owner of the key
	PartCaller    Part = "caller"     // sending the request, or reading the answer
	PartHost      Part = "host"       // rings and pauses of the entry host
	PartUnknown   Part = "unknown"    // the evidence is missing
)

// Verdict names the part that an answer waited for most.
type Verdict struct {
	Part  Part    `json:"part" msgpack:"p"`
	Where string  `json:"where" msgpack:"w"` // link, minion, host or team
	Share float64 `json:"share" msgpack:"s"` // of the answer's whole time, 0 to 1
}
