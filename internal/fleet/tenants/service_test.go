package tenants

import (
	"errors"
	"strings"
	"testing"
)

// A tenant's service is read from a file and from a proposal, is part of the digest, and is rejected by its field's name.
func TestServiceOfATenant(t *testing.T) {
	const line = `service = "billing"` + "\n"
	spec, err := ParseTOML([]byte(line + goodTOML))
	if err != nil || spec.Service != "billing" {
		t.Fatalf("a file: %+v, %v", spec, err)
	}
	_, proposed, err := ParseProposal([]byte(`{"generation": 0, "spec": {"name": "x", "service": "billing", "quota": {"rate": 1, "burst": 1}}}`))
	if err != nil || proposed.Service != "billing" {
		t.Errorf("a proposal: %+v, %v", proposed, err)
	}
	without, err := ParseTOML([]byte(goodTOML))
	if err != nil || without.Service != "" || Digest(without) == Digest(spec) {
		t.Errorf("without: %+v, %v", without, err)
	}
	for _, bad := range []string{`service = 7`, `service = "two words"`, `service = "` + strings.Repeat("x", 65) + `"`} {
		_, err := ParseTOML([]byte(bad + "\n" + goodTOML))
		var fault *FieldError
		if !errors.As(err, &fault) || fault.Field != "service" || fault.Line != 1 {
			t.Errorf("%s: %v", bad, err)
		}
	}
}
