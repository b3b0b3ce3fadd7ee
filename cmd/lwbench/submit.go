package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/google/subcommands"
	"github.com/google/uuid"
	"github.com/laburnumwalk/laburnumwalk/internal/api"
	"github.com/pkg/errors"
)

const (
	loadDeadline    = 30 * time.Second
	loadIdleTimeout = 10 * time.Second
	loadDialTimeout = time.Second
)

// submitter submits jobs that have the same team, service, task count and
// payload. Each job gets a new key.
type submitter struct {
	http    *client.Client
	team    string
	service string
	tasks   int
	payload string
}

func newHTTPClient(connections int) (*client.Client, error) {
	return client.NewClient(
		client.WithMaxConnsPerHost(connections),
		client.WithMaxIdleConnDuration(loadIdleTimeout),
		client.WithDialTimeout(loadDialTimeout),
	)
}

func (s *submitter) request() api.SubmitRequest {
	r := api.SubmitRequest{
		Key: uuid.NewString(), Attempt: 1, Team: s.team, Service: s.service,
		DeadlineMS: loadDeadline.Milliseconds(), SubmittedAtMS: time.Now().UnixMilli(),
		Tasks: make([]api.TaskBody, s.tasks),
	}
	for i := range r.Tasks {
		r.Tasks[i].Payload = s.payload
	}
	return r
}

// submit sends one job to the callers' listener at address. It returns the
// answer and the time from sending the request to receiving the whole response.
func (s *submitter) submit(address string) (answer api.JobResponse, took time.Duration, err error) {
	body, err := json.Marshal(s.request())
	if err != nil {
		return answer, 0, errors.WithStack(err)
	}
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetMethod("POST")
	req.SetRequestURI("http://" + address + "/v1/jobs")
	req.SetBodyRaw(body)
	req.SetOptions(config.WithReadTimeout(loadDeadline + time.Second))
	begin := time.Now()
	if err := s.http.Do(context.Background(), req, resp); err != nil {
		return answer, 0, errors.WithStack(err)
	}
	took = time.Since(begin)
	return answer, took, errors.WithStack(json.Unmarshal(resp.Body(), &answer))
}

// failWith prints err to stderr and returns status.
func failWith(status subcommands.ExitStatus, err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "lwbench:", err)
	return status
}
