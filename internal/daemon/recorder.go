package daemon

import (
	"context"
	"log/slog"
	"os"

	"github.com/laburnumwalk/laburnumwalk/internal/engine"
	"github.com/laburnumwalk/laburnumwalk/internal/event"
	"github.com/laburnumwalk/laburnumwalk/internal/replay"
	"github.com/pkg/errors"
)

// recorder writes the inputs and outputs of the engine to a trace file. The
// methods of a nil recorder do nothing.
type recorder struct {
	file            *os.File
	trace           *replay.Recorder
	failureReported bool
}

// newRecorder creates the file at path and sets the observer of cfg, so that the
// engine reports its inputs and outputs. It returns nil if path is empty.
func newRecorder(path string, cfg *engine.Config) (*recorder, error) {
	if path == "" {
		return nil, nil
	}
	f, err := os.Create(path)
	if err != nil {
		return nil, errors.Wrap(err, "traces.record_file")
	}
	r := &recorder{file: f, trace: replay.NewRecorder(f, *cfg)}
	cfg.Observer = r.trace
	return r, nil
}

// flush writes the buffered part of the trace. Only the first error is returned;
// later calls return nil.
func (r *recorder) flush() error {
	if r == nil || r.failureReported {
		return nil
	}
	err := r.trace.Flush()
	r.failureReported = err != nil
	return err
}

// close flushes the trace and closes the file. It returns the first error, but not
// a recording error that flush has returned before.
func (r *recorder) close() error {
	if r == nil {
		return nil
	}
	err := r.flush()
	if closeErr := r.file.Close(); err == nil {
		err = closeErr
	}
	return err
}

func (c *core) logRecorderError(ctx context.Context, err error) {
	if err != nil {
		event.Log(ctx, c.log, event.TraceRecordFailed, slog.String("error", err.Error()))
	}
}
