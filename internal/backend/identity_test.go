package backend

import (
	"testing"

	"github.com/laburnumwalk/laburnumwalk/internal/job"
	"github.com/shoenig/test/must"
)

var identityTask = job.TaskID{Job: job.ID{Team: "patio", Key: "0f8fad5b-d9cb-469f-a165-70867728950e"}, Index: 42}

func TestIdentity(t *testing.T) {
	must.Eq(t, "inc/patio/0f8fad5b-d9cb-469f-a165-70867728950e/42", Identity("inc", identityTask))
}

func BenchmarkIdentity(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		Identity("7c9e6679-7425-40de-944b-e07fc1f90ae7", identityTask)
	}
}
