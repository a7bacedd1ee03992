package main

import (
	"bytes"
	"strings"
	"testing"
)

// The subcommand for hollow nodes exists, isn't listed in the help, and answers a bad configuration with an error that names the key.
func TestHollowCommand(t *testing.T) {
	t.Parallel()
	var out bytes.Buffer
	cmd := root()
	cmd.SetArgs([]string{"hollow"})
	cmd.SetIn(strings.NewReader("{\"colour\":1}\n"))
	cmd.SetOut(&out)
	cmd.SetErr(&out)
	if err := cmd.Execute(); err == nil || !strings.Contains(err.Error(), "colour") || !strings.Contains(out.String(), `"err":"config:`) {
		t.Errorf("bad configuration: error %v, output %q", err, out.String())
	}
	out.Reset()
	cmd = root()
	cmd.SetArgs([]string{"--help"})
	cmd.SetOut(&out)
	if err := cmd.Execute(); err != nil || strings.Contains(out.String(), "\n  hollow ") {
		t.Errorf("help: error %v, output %q, want no hollow command in it", err, out.String())
	}
}
