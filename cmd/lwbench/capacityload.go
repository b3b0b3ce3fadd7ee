package main

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"

	"github.com/laburnumwalk/laburnumwalk/internal/minion"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
	"github.com/laburnumwalk/laburnumwalk/internal/standin"
	"github.com/pkg/errors"
	"golang.org/x/time/rate"
)

// minionLoad runs announced stand-in minions in this process.
type minionLoad struct {
	domain string
	hosts  []string
	count  int
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

func newMinionLoad(domain, host string) *minionLoad {
	ctx, cancel := context.WithCancel(context.Background())
	return &minionLoad{domain: domain, hosts: []string{host}, ctx: ctx, cancel: cancel}
}

func (l *minionLoad) increaseTo(_ context.Context, size int) error {
	for ; l.count < size; l.count++ {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return errors.WithStack(err)
		}
		m := standin.New(minion.Announcement{
			Name: fmt.Sprintf("minion-%d", l.count), Worker: "w", Rack: "r", FailureDomain: l.domain,
			Services: []string{"despacho"}, Slots: 8, Connections: 64,
		}, ln, l.hosts)
		l.wg.Go(func() { _ = m.Run(l.ctx) }) // runs until stop
	}
	return nil
}

func (l *minionLoad) progress() (int64, bool) { return int64(l.count), false }

func (l *minionLoad) stop() {
	l.cancel()
	l.wg.Wait()
}

// connectionLoad keeps connections to the callers' listener open and sends nothing.
type connectionLoad struct {
	address string
	conns   []net.Conn
}

func (l *connectionLoad) increaseTo(_ context.Context, size int) error {
	for len(l.conns) < size {
		c, err := net.Dial("tcp", l.address)
		if err != nil {
			return errors.WithStack(err)
		}
		l.conns = append(l.conns, c)
	}
	return nil
}

func (l *connectionLoad) progress() (int64, bool) { return int64(len(l.conns)), false }

func (l *connectionLoad) stop() {
	for _, c := range l.conns {
		c.Close()
	}
}

// taskCounter submits jobs and counts their completed tasks.
type taskCounter struct {
	submitter
	address        string
	completedTasks atomic.Int64
}

// submitConnections is the number of connections and of concurrent submitters.
const submitConnections = 64

func newTaskCounter(address string, tasks int) (*taskCounter, error) {
	c, err := newHTTPClient(submitConnections)
	if err != nil {
		return nil, err
	}
	return &taskCounter{submitter: submitter{http: c, team: "bench", service: "despacho", tasks: tasks}, address: address}, nil
}

func (c *taskCounter) submitAndCount() error {
	answer, _, err := c.submit(c.address)
	if err != nil {
		return err
	}
	if answer.Code != result.OK {
		return errors.Errorf("job answered %d %s: %s", answer.Code, answer.Name, answer.Detail)
	}
	c.completedTasks.Add(int64(c.tasks))
	return nil
}

// rateLoad submits jobs at a constant rate.
type rateLoad struct {
	*taskCounter
	limiter *rate.Limiter
	cancel  context.CancelFunc
	wg      sync.WaitGroup
}

func newRateLoad(address string, tasks int) (*rateLoad, error) {
	s, err := newTaskCounter(address, tasks)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &rateLoad{taskCounter: s, limiter: rate.NewLimiter(0, 1), cancel: cancel}
	for range submitConnections {
		l.wg.Go(func() {
			for l.limiter.Wait(ctx) == nil {
				_ = l.submitAndCount() // a failed job lowers the measured rate
			}
		})
	}
	return l, nil
}

// increaseTo sets the rate in task starts per second.
func (l *rateLoad) increaseTo(_ context.Context, size int) error {
	l.limiter.SetLimit(rate.Limit(float64(size) / float64(l.tasks)))
	return nil
}

func (l *rateLoad) progress() (int64, bool) { return l.completedTasks.Load(), true }

func (l *rateLoad) stop() {
	l.cancel()
	l.wg.Wait()
}

// recordLoad fills the daemon with stored keys of ended jobs.
type recordLoad struct{ *taskCounter }

func newRecordLoad(address string) (*recordLoad, error) {
	s, err := newTaskCounter(address, 1)
	return &recordLoad{s}, err
}

func (l *recordLoad) increaseTo(_ context.Context, size int) error {
	var wg sync.WaitGroup
	failures := make(chan error, submitConnections)
	for range submitConnections {
		wg.Go(func() {
			for l.completedTasks.Load() < int64(size) {
				if err := l.submitAndCount(); err != nil {
					failures <- err
					return
				}
			}
		})
	}
	wg.Wait()
	close(failures)
	return <-failures
}

func (l *recordLoad) progress() (int64, bool) { return l.completedTasks.Load(), false }

func (l *recordLoad) stop() {}
