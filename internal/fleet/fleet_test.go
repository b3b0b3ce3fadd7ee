package fleet

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/laburnumwalk/laburnumwalk/internal/queue"
	"github.com/laburnumwalk/laburnumwalk/internal/register"
	"github.com/laburnumwalk/laburnumwalk/internal/ring"
	"github.com/shoenig/test/must"
)

// hostWithFullRing returns a host whose core does not run and whose input ring has room
// for one input.
func hostWithFullRing() *Host {
	log := slog.New(slog.DiscardHandler)
	return &Host{
		log: log, metrics: newMetrics(), inputs: ring.New[func(time.Time)](1), done: make(chan struct{}),
		control: register.New(register.Options{Log: log}),
	}
}

// The end of a caller's connection and the begin of a shutdown must reach the core although
// the input ring is full: nobody repeats them, and a job whose caller has left would run on
// beside the caller's next try.
func TestInputsThatNobodyRepeatsWaitForTheRing(t *testing.T) {
	gone, leave := context.WithCancel(context.Background())
	leave()
	for name, call := range map[string]func(h *Host){
		"caller gone": func(h *Host) {
			h.Submit(gone, &Job{ID: "j", Queue: &queue.Queue{}, Deadline: time.Now().Add(time.Hour)})
		},
		"shutdown": func(h *Host) {
			h.enqueue(func(time.Time) {})
			h.BeginShutdown(time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := hostWithFullRing()
			go call(h)
			time.Sleep(50 * time.Millisecond) // the call meets the full ring
			<-h.inputs.C()
			select {
			case <-h.inputs.C():
			case <-time.After(5 * time.Second):
				t.Fatal("the input was dropped")
			}
			must.Zero(t, h.inputs.Len())
		})
	}
}
