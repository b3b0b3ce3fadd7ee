package api

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/laburnumwalk/laburnumwalk/internal/job"
	"github.com/laburnumwalk/laburnumwalk/internal/result"
)

// Limits are the limits of a submission.
type Limits struct {
	MaxTasks        int
	MaxPayloadBytes int // per task
	MaxDeadline     time.Duration
}

const (
	maxNameBytes = 128
	maxAttempt   = 1000
	maxSizeValue = 1 << 30
)

// decodeStrict decodes the single JSON value in body. Unknown keys and trailing
// data are errors.
func decodeStrict(body []byte, out any) *result.Error {
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(out); err != nil {
		return result.Errorf(result.Malformed, "%v", err)
	}
	if _, err := d.Token(); err != io.EOF {
		return result.Errorf(result.Malformed, "data after the JSON value")
	}
	return nil
}

// ParseSubmission decodes and validates the body of POST /v1/jobs. now is the time
// of receipt, from which the deadline counts.
func ParseSubmission(now time.Time, body []byte, l Limits) (*job.Submission, *result.Error) {
	var r SubmitRequest
	if err := decodeStrict(body, &r); err != nil {
		return nil, err
	}
	if err := r.check(l); err != nil {
		return nil, err
	}
	s := &job.Submission{
		ID:          job.ID{Team: r.Team, Key: r.Key},
		Attempt:     r.Attempt,
		Service:     r.Service,
		SubmittedAt: unixMillis(r.SubmittedAtMS),
		Deadline:    now.Add(time.Duration(r.DeadlineMS) * time.Millisecond),
		Digest:      r.digest(),
		Tasks:       make([]job.Task, len(r.Tasks)),
	}
	for i := range r.Tasks {
		s.Tasks[i] = r.Tasks[i].task()
	}
	return s, nil
}

func (r *SubmitRequest) check(l Limits) *result.Error {
	for _, f := range []struct{ name, value string }{{"key", r.Key}, {"team", r.Team}, {"service", r.Service}} {
		if !validName(f.value) {
			return result.Errorf(result.InvalidField, "%s: want 1 to %d of A-Z a-z 0-9 . _ : -", f.name, maxNameBytes)
		}
	}
	maxMS := l.MaxDeadline.Milliseconds()
	switch {
	case r.Attempt < 0 || r.Attempt > maxAttempt:
		return result.Errorf(result.InvalidField, "attempt: want 0 to %d", maxAttempt)
	case r.DeadlineMS < 1 || r.DeadlineMS > maxMS:
		return result.Errorf(result.InvalidField, "deadline_ms: want 1 to %d", maxMS)
	case r.SubmittedAtMS < 1:
		return result.Errorf(result.InvalidField, "submitted_at_ms: want the Unix time of attempt 1 in milliseconds")
	case len(r.Tasks) == 0:
		return result.Errorf(result.InvalidField, "tasks: want at least 1")
	case len(r.Tasks) > l.MaxTasks:
		return result.Errorf(result.TooLarge, "tasks: %d exceed %d", len(r.Tasks), l.MaxTasks)
	}
	for i := range r.Tasks {
		if err := r.Tasks[i].check(i, l); err != nil {
			return err
		}
	}
	return nil
}

func (t *TaskBody) check(i int, l Limits) *result.Error {
	if len(t.Payload) > l.MaxPayloadBytes {
		return result.Errorf(result.TooLarge, "tasks[%d].payload: %d bytes exceed %d", i, len(t.Payload), l.MaxPayloadBytes)
	}
	if t.Size == nil {
		return nil
	}
	for _, v := range []int64{int64(t.Size.MilliCPU), int64(t.Size.MemoryMB), int64(t.Size.Accelerators), t.Size.RunMS} {
		if v < 0 || v > maxSizeValue {
			return result.Errorf(result.InvalidField, "tasks[%d].size: want values from 0 to %d", i, maxSizeValue)
		}
	}
	return nil
}

func (t *TaskBody) task() job.Task {
	k := job.Task{Payload: []byte(t.Payload), NoRepeat: t.NoRepeat}
	if t.Size != nil {
		k.Size = job.Size{
			MilliCPU:     t.Size.MilliCPU,
			MemoryMB:     t.Size.MemoryMB,
			Accelerators: t.Size.Accelerators,
			Run:          time.Duration(t.Size.RunMS) * time.Millisecond,
		}
	}
	return k
}

func validName(s string) bool {
	if len(s) == 0 || len(s) > maxNameBytes {
		return false
	}
	for _, c := range []byte(s) {
		ok := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' ||
			c == '.' || c == '_' || c == ':' || c == '-'
		if !ok {
			return false
		}
	}
	return true
}

// digest hashes the parts of a request that must be the same in every attempt. The
// length of each string is hashed before the string, so that requests that divide
// the same bytes differently among their fields have different digests.
func (r *SubmitRequest) digest() uint64 {
	var h digester
	h.Reset()
	h.text(r.Key)
	h.text(r.Team)
	h.text(r.Service)
	for i := range r.Tasks {
		t := &r.Tasks[i]
		h.text(t.Payload)
		h.flag(t.NoRepeat)
		h.flag(t.Size != nil)
		if t.Size != nil {
			h.number(int64(t.Size.MilliCPU))
			h.number(int64(t.Size.MemoryMB))
			h.number(int64(t.Size.Accelerators))
			h.number(t.Size.RunMS)
		}
	}
	return h.Sum64()
}

// digester hashes typed values. Its writes never fail.
type digester struct{ xxhash.Digest }

func (d *digester) number(n int64) {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(n))
	_, _ = d.Write(b[:])
}

func (d *digester) text(s string) {
	d.number(int64(len(s)))
	_, _ = d.WriteString(s)
}

func (d *digester) flag(b bool) {
	if b {
		d.number(1)
		return
	}
	d.number(0)
}
