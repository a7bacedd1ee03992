package reportdelta

import (
	"bytes"
	"encoding/json"
	"fmt"
	"unicode/utf8"

	"meadowsill/internal/fleet"
)

// Limits on the content of one delta and on the complete report that it gives.
const (
	maxRows      = 16 << 10
	maxNameBytes = 128
)

// Encode encodes a delta for Decode. The bodies of its items stay as they are.
func Encode(d Delta) ([]byte, error) {
	var out bytes.Buffer
	enc := json.NewEncoder(&out)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(d); err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(out.Bytes(), []byte("\n")), nil
}

// Decode reads the body of POST /fleet/v1/report/difference by the rules of fleet.DecodeReport: a body that is malformed, too large
// or impossible is fleet.ErrInvalid with the member's name. Apply checks whether the delta matches its base.
func Decode(b []byte) (Delta, error) {
	if len(b) > fleet.MaxReportBytes {
		return Delta{}, fmt.Errorf("%w: %d bytes, at most %d", fleet.ErrInvalid, len(b), fleet.MaxReportBytes)
	}
	if !utf8.Valid(b) {
		return Delta{}, fmt.Errorf("%w: not UTF-8", fleet.ErrInvalid)
	}
	var d Delta
	if err := json.Unmarshal(b, &d); err != nil {
		return Delta{}, fmt.Errorf("%w: %w", fleet.ErrInvalid, err)
	}
	if err := d.check(); err != nil {
		return Delta{}, err
	}
	for i := range d.Applied {
		d.Applied[i].Body = compactBody(d.Applied[i].Body)
	}
	return d, nil
}

func (d *Delta) check() error {
	h := &d.Head
	if len(h.Services)+len(h.Zones)+len(h.Tenants)+len(h.Applied) > 0 {
		return fmt.Errorf("%w: head: has services or rows", fleet.ErrInvalid)
	}
	if d.BaseSequence == 0 || d.BaseSequence >= h.Sequence {
		return fmt.Errorf("%w: base_seq: %d, the report's seq is %d", fleet.ErrInvalid, d.BaseSequence, h.Sequence)
	}
	if len(d.Digest) != 16 {
		return fmt.Errorf("%w: digest: %.40q", fleet.ErrInvalid, d.Digest)
	}
	partial := d.Head // the rows are checked by the rules of a report
	partial.Zones = d.Zones
	partial.Tenants = d.Tenants
	partial.Applied = d.Applied
	if err := partial.Check(); err != nil {
		return err
	}
	if err := d.checkLoads(); err != nil {
		return err
	}
	for _, removed := range [][]string{d.ZonesRemoved, d.TenantsRemoved, d.AppliedRemoved} {
		if err := checkRemoved(removed); err != nil {
			return err
		}
	}
	return nil
}

// checkLoads checks the loads by the rules of tenants' rows.
func (d *Delta) checkLoads() error {
	if len(d.Loads) > maxRows {
		return fmt.Errorf("%w: loads: %d, at most %d", fleet.ErrInvalid, len(d.Loads), maxRows)
	}
	for i, load := range d.Loads {
		if load.Row < 0 || load.Row >= maxRows {
			return fmt.Errorf("%w: loads[%d].i: %d", fleet.ErrInvalid, i, load.Row)
		}
		row := load.apply(fleet.TenantAck{Name: "load"})
		if err := row.Check(); err != nil {
			return fmt.Errorf("loads[%d]: %w", i, err)
		}
	}
	return nil
}

func checkRemoved(keys []string) error {
	if len(keys) > maxRows {
		return fmt.Errorf("%w: gone: %d keys, at most %d", fleet.ErrInvalid, len(keys), maxRows)
	}
	for _, key := range keys {
		if key == "" || len(key) > maxNameBytes {
			return fmt.Errorf("%w: gone: key %.40q", fleet.ErrInvalid, key)
		}
	}
	return nil
}

// checkSize rejects a complete report that no body of fleet.MaxReportBytes bytes can hold. This bounds what a leader keeps of each
// node.
func checkSize(r *fleet.Report) error {
	if len(r.Zones) > maxRows || len(r.Tenants) > maxRows || len(r.Applied) > maxRows {
		return fmt.Errorf("%w: too many zones, tenants or facts", fleet.ErrInvalid)
	}
	size := 0
	for i := range r.Zones {
		size += len(r.Zones[i].Zone)
	}
	for i := range r.Tenants {
		t := &r.Tenants[i]
		size += len(t.Name) + len(t.Digest) + len(t.RejectReason)
	}
	for i := range r.Applied {
		a := &r.Applied[i]
		size += len(a.Key) + len(a.Digest) + len(a.ChangedBy) + len(a.Body)
	}
	if size > fleet.MaxReportBytes {
		return fmt.Errorf("%w: whole report: over %d bytes", fleet.ErrInvalid, fleet.MaxReportBytes)
	}
	return nil
}
