package tenants

import (
	"errors"
	"strings"
	"testing"
)

// TestServiceOfATenant checks that a tenant's service is parsed from a file and from a proposal and is part of the digest,
// and that an invalid service gives an error that names the field.
func TestServiceOfATenant(t *testing.T) {
	const line = `service = "billing"` + "\n"
	spec, err := ParseTOML([]byte(line + validTOML))
	if err != nil || spec.Service != "billing" {
		t.Fatalf("file: %+v, %v", spec, err)
	}
	_, proposed, err := ParseProposal([]byte(`{"generation": 0, "spec": {"name": "x", "service": "billing", "quota": {"rate": 1, "burst": 1}}}`))
	if err != nil || proposed.Service != "billing" {
		t.Errorf("proposal: %+v, %v", proposed, err)
	}
	without, err := ParseTOML([]byte(validTOML))
	if err != nil || without.Service != "" || Digest(without) == Digest(spec) {
		t.Errorf("file without a service: %+v, %v", without, err)
	}
	for _, bad := range []string{`service = 7`, `service = "two words"`, `service = "` + strings.Repeat("x", 65) + `"`} {
		_, err := ParseTOML([]byte(bad + "\n" + validTOML))
		var fieldErr *FieldError
		if !errors.As(err, &fieldErr) || fieldErr.Field != "service" || fieldErr.Line != 1 {
			t.Errorf("%s: %v", bad, err)
		}
	}
}
