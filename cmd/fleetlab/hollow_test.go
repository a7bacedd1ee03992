package main

import (
	"bytes"
	"strings"
	"testing"
)

// The subcommand of hollow nodes is there, unlisted, and answers a bad configuration with its one line.
func TestHollowCommand(t *testing.T) {
	t.Parallel()
	var out bytes.Buffer
	cmd := root()
	cmd.SetArgs([]string{"hollow"})
	cmd.SetIn(strings.NewReader("{\"colour\":1}\n"))
	cmd.SetOut(&out)
	cmd.SetErr(&out)
	if err := cmd.Execute(); err == nil || !strings.Contains(err.Error(), "colour") || !strings.Contains(out.String(), `"err":"config:`) {
		t.Errorf("a bad configuration: %v, %q", err, out.String())
	}
	out.Reset()
	cmd = root()
	cmd.SetArgs([]string{"--help"})
	cmd.SetOut(&out)
	if err := cmd.Execute(); err != nil || strings.Contains(out.String(), "\n  hollow ") {
		t.Errorf("the help: %v, %q", err, out.String())
	}
}
