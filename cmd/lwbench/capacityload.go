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

// minionLoad is a number of announced stand-in minions in this process.
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

func (l *minionLoad) grow(_ context.Context, size int) error {
	for ; l.count < size; l.count++ {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return errors.WithStack(err)
		}
		m := standin.New(minion.Announcement{
			Name: fmt.Sprintf("minion-%d", l.count), Worker: "w", Rack: "r", FailureDomain: l.domain,
			Services: []string{"despacho"}, Slots: 8, Connections: 64,
		}, ln, l.hosts)
		l.wg.Go(func() { _ = m.Run(l.ctx) }) // ends with the measurement
	}
	return nil
}

func (l *minionLoad) reached() (int64, bool) { return int64(l.count), false }

func (l *minionLoad) stop() {
	l.cancel()
	l.wg.Wait()
}

// connectionLoad is a number of open connections of callers that send nothing.
type connectionLoad struct {
	address string
	open    []net.Conn
}

func (l *connectionLoad) grow(_ context.Context, size int) error {
	for len(l.open) < size {
		c, err := net.Dial("tcp", l.address)
		if err != nil {
			return errors.WithStack(err)
		}
		l.open = append(l.open, c)
	}
	return nil
}

func (l *connectionLoad) reached() (int64, bool) { return int64(len(l.open)), false }

func (l *connectionLoad) stop() {
	for _, c := range l.open {
		c.Close()
	}
}

// counter submits jobs and counts the completed tasks.
type counter struct {
	submitter
	address string
	done    atomic.Int64
}

const submitConnections = 64

func newCounter(address string, tasks int) (*counter, error) {
	c, err := newLoadClient(submitConnections)
	if err != nil {
		return nil, err
	}
	return &counter{submitter: submitter{http: c, team: "bench", service: "despacho", tasks: tasks}, address: address}, nil
}

func (c *counter) count() error {
	answer, _, err := c.submit(c.address)
	if err != nil {
		return err
	}
	if answer.Code != result.OK {
		return errors.Errorf("job answered %d %s: %s", answer.Code, answer.Name, answer.Detail)
	}
	c.done.Add(int64(c.tasks))
	return nil
}

// rateLoad submits jobs at a steady rate.
type rateLoad struct {
	*counter
	limiter *rate.Limiter
	cancel  context.CancelFunc
	wg      sync.WaitGroup
}

func newRateLoad(address string, tasks int) (*rateLoad, error) {
	s, err := newCounter(address, tasks)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &rateLoad{counter: s, limiter: rate.NewLimiter(0, 1), cancel: cancel}
	for range submitConnections {
		l.wg.Go(func() {
			for l.limiter.Wait(ctx) == nil {
				_ = l.count() // a failed job is missing from the rate reached
			}
		})
	}
	return l, nil
}

// grow sets the rate in task starts per second.
func (l *rateLoad) grow(_ context.Context, size int) error {
	l.limiter.SetLimit(rate.Limit(float64(size) / float64(l.tasks)))
	return nil
}

func (l *rateLoad) reached() (int64, bool) { return l.done.Load(), true }

func (l *rateLoad) stop() {
	l.cancel()
	l.wg.Wait()
}

// recordLoad is a number of ended jobs whose keys are remembered.
type recordLoad struct{ *counter }

func newRecordLoad(address string) (*recordLoad, error) {
	s, err := newCounter(address, 1)
	return &recordLoad{s}, err
}

func (l *recordLoad) grow(_ context.Context, size int) error {
	var wg sync.WaitGroup
	failures := make(chan error, submitConnections)
	for range submitConnections {
		wg.Go(func() {
			for l.done.Load() < int64(size) {
				if err := l.count(); err != nil {
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

func (l *recordLoad) reached() (int64, bool) { return l.done.Load(), false }

func (l *recordLoad) stop() {}
