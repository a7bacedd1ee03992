package main

import (
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"time"
)

// runDirectory is the directory of one run, with the run's log.
type runDirectory struct {
	path string
	log  *slog.Logger
	file *os.File // that the log is written to
}

// newRunDirectory makes a directory for a run of the given name, which begins now, and opens the log in it.
func newRunDirectory(parent, name, logName string) (*runDirectory, error) {
	path := filepath.Join(parent, fmt.Sprintf("%s-%s", name, time.Now().UTC().Format("20060102T150405")))
	if err := os.MkdirAll(path, 0o755); err != nil {
		return nil, err
	}
	file, err := os.Create(filepath.Join(path, logName))
	if err != nil {
		return nil, err
	}
	log := slog.New(slog.NewJSONHandler(file, nil)).With("run", filepath.Base(path))
	return &runDirectory{path: path, log: log, file: file}, nil
}

// close closes the log.
func (d *runDirectory) close() { d.file.Close() }
