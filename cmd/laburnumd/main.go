// Command laburnumd is the daemon of an entry host.
package main

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/laburnumwalk/laburnumwalk/internal/daemon"
	"github.com/laburnumwalk/laburnumwalk/internal/event"
	"github.com/laburnumwalk/laburnumwalk/internal/settings"
	"github.com/pkg/errors"
)

func main() {
	path := flag.String("settings", "laburnumd.json", "settings `file`: JSON with comments")
	check := flag.Bool("check", false, "check the settings and exit")
	flag.Parse()
	os.Exit(run(*path, *check))
}

func run(path string, check bool) int {
	s, code, done := settings.LoadAndReport(path, check, settings.Load)
	if done {
		return code
	}
	log, closeLog, err := newLogger(s.Log)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return settings.ExitFailure
	}
	defer closeLog()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := serve(ctx, s, log); err != nil {
		event.Log(ctx, log, event.ServerFailed, slog.String("error", err.Error()))
		return settings.ExitFailure
	}
	return settings.ExitOK
}

func serve(ctx context.Context, s settings.Settings, log *slog.Logger) error {
	d, err := daemon.New(s, log)
	if err != nil {
		return err
	}
	return d.Run(ctx)
}

func newLogger(c settings.Log) (*slog.Logger, func(), error) {
	out := os.Stderr
	closeLog := func() {}
	if c.File != "" {
		f, err := os.OpenFile(c.File, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return nil, nil, errors.Wrap(err, "open log file")
		}
		out = f
		closeLog = func() { f.Close() }
	}
	var level slog.Level
	if err := level.UnmarshalText([]byte(c.Level)); err != nil {
		return nil, nil, errors.Wrap(err, "parse log level")
	}
	return slog.New(slog.NewJSONHandler(out, &slog.HandlerOptions{Level: level})), closeLog, nil
}
