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

// recorder writes the inputs and outcomes of the decisions to a file. A nil
// one does nothing.
type recorder struct {
	file   *os.File
	trace  *replay.Recorder
	failed bool
}

// newRecorder creates the file and makes the engine of cfg report to it. It
// returns nil when no file is named.
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

// flush returns the first error of the recording, once.
func (r *recorder) flush() error {
	if r == nil || r.failed {
		return nil
	}
	err := r.trace.Flush()
	r.failed = err != nil
	return err
}

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

func (c *core) reportRecorder(ctx context.Context, err error) {
	if err != nil {
		event.Log(ctx, c.log, event.TraceRecordFailed, slog.String("error", err.Error()))
	}
}
