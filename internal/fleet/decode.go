package fleet

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"strings"
	"unicode/utf8"
)

// Limits on the content of one body. A body that exceeds any of them is rejected completely.
const (
	maxNameBytes = 128  // name of a node, zone or tenant, or a server id
	maxTextBytes = 1024 // length of a reason
	maxZones     = 256
	maxItems     = 16 << 10 // tenants, items or requested keys
	maxCount     = 1 << 30  // largest value of a counter
	maxRate      = 1e12     // requests/s
	maxMS        = 86_400_000
)

// DecodeReport reads the body of POST /fleet/v1/report. It ignores unknown members. A value that has the wrong type,
// exceeds a limit, is negative where that is impossible, or contradicts another value gives an ErrInvalid that names the
// member; no part of such a report is used.
func DecodeReport(b []byte) (Report, error) {
	var r Report
	if err := decodeStrict(b, MaxReportBytes, &r); err != nil {
		return Report{}, err
	}
	if err := r.Check(); err != nil {
		return Report{}, err
	}
	return r, nil
}

// DecodeNodeReport reads a report like DecodeReport. newer reports whether the report has members that are unknown to
// this build, which means that a newer version of the node sent it.
func DecodeNodeReport(b []byte) (r Report, newer bool, err error) {
	if len(b) <= MaxReportBytes && utf8.Valid(b) {
		dec := json.NewDecoder(bytes.NewReader(b))
		dec.DisallowUnknownFields()
		err := dec.Decode(&r)
		if _, trailing := dec.Token(); err == nil && trailing == io.EOF {
			if err := r.Check(); err != nil {
				return Report{}, false, err
			}
			return r, false, nil
		}
	}
	r, err = DecodeReport(b)
	return r, err == nil, err
}

// DecodeIntent reads an answer of GET /fleet/v1/intent, or an agent's durable copy. It validates the bodies of zones,
// tenants and shares, and keeps items of other kinds as they are, because a newer control plane may send them. It
// returns the same errors as DecodeReport.
func DecodeIntent(b []byte) (Intent, error) {
	var in Intent
	if err := decodeStrict(b, MaxIntentBytes, &in); err != nil {
		return Intent{}, err
	}
	if err := in.check(); err != nil {
		return Intent{}, err
	}
	return in, nil
}

func decodeStrict(b []byte, limit int, v any) error {
	if len(b) > limit {
		return fmt.Errorf("%w: %d bytes, at most %d", ErrInvalid, len(b), limit)
	}
	if !utf8.Valid(b) {
		return fmt.Errorf("%w: not UTF-8", ErrInvalid)
	}
	if err := json.Unmarshal(b, v); err != nil { // also rejects data after the value
		return fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return nil
}

// fieldError returns an error about a member and its value.
func fieldError(field string, v any) error { return fmt.Errorf("%w: %s: %.80v", ErrInvalid, field, v) }

// checkNumber rejects a count or rate that is negative, NaN or above largest.
func checkNumber[T int | int64 | float64](field string, v T, largest float64) error {
	if f := float64(v); !(f >= 0 && f <= largest) { // the negation also rejects NaN
		return fieldError(field, v)
	}
	return nil
}

// checkName rejects a name that can't be used in a key, a log line or a metric.
func checkName(field, s string) error {
	if s == "" || len(s) > maxNameBytes || strings.ContainsFunc(s, func(r rune) bool { return r < ' ' || r == 0x7f || r == utf8.RuneError }) {
		return fieldError(field, fmt.Sprintf("%q", s))
	}
	return nil
}

// firstError returns the first error that isn't nil.
func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func checkText(field, s string, longest int) error {
	if len(s) > longest {
		return fieldError(field, fmt.Sprintf("%d bytes", len(s)))
	}
	return nil
}

// Check validates a report with all its rows.
func (r *Report) Check() error {
	if err := firstError(checkName("node", r.Node), checkName("zone", r.Zone), checkNumber("window_ms", r.WindowMS, maxMS),
		checkText("root", r.AppliedRoot, 16), checkText("list_root", r.ListRoot, 16), ValidScope(r.Services)); err != nil {
		return err
	}
	if r.Incarnation == 0 {
		return fieldError("incarnation", 0)
	}
	if len(r.Zones) > maxZones || len(r.Tenants) > maxItems || len(r.Applied) > maxItems {
		return fieldError("report", "too many zones, tenants or facts")
	}
	seen := map[string]bool{}
	for i, z := range r.Zones {
		if err := z.check(); err != nil {
			return fmt.Errorf("zones[%d]: %w", i, err)
		}
		if seen["z"+z.Zone] {
			return fieldError("zones", z.Zone+" twice")
		}
		seen["z"+z.Zone] = true
	}
	for i, t := range r.Tenants {
		if err := t.Check(); err != nil {
			return fmt.Errorf("tenants[%d]: %w", i, err)
		}
		if seen["t"+t.Name] {
			return fieldError("tenants", t.Name+" twice")
		}
		seen["t"+t.Name] = true
	}
	for i, h := range r.Applied {
		if err := firstError(checkName("key", h.Key), checkText("digest", h.Digest, 16), checkText("by", h.ChangedBy, maxNameBytes)); err != nil {
			return fmt.Errorf("held[%d]: %w", i, err)
		}
		if seen["h"+h.Key] {
			return fieldError("held", h.Key+" twice")
		}
		seen["h"+h.Key] = true
	}
	return nil
}

// Check validates the row of one tenant.
func (t *TenantAck) Check() error {
	return firstError(checkName("name", t.Name), checkText("digest", t.Digest, 16), checkText("refused", t.RejectReason, maxTextBytes),
		checkNumber("open", t.Open, maxCount), checkNumber("offered", t.Offered, maxRate),
		checkNumber("admitted", t.Admitted, maxRate), checkNumber("rate", t.Rate, maxRate))
}

func (z *ZoneEvidence) check() error {
	if err := firstError(checkName("zone", z.Zone), checkNumber("attempts", z.Attempts, maxCount), checkNumber("lost", z.Lost, maxCount),
		checkNumber("servers", z.Servers, maxCount), checkNumber("lost_servers", z.LostServers, maxCount),
		checkNumber("ok", z.Answered, maxCount), checkNumber("listed", z.Listed, maxCount), checkNumber("sent", z.Started, maxCount),
		checkNumber("rate", z.Rate, maxRate)); err != nil {
		return err
	}
	switch {
	case z.Lost > z.Attempts:
		return fieldError("lost", z.Lost)
	case z.Answered > z.Attempts:
		return fieldError("ok", z.Answered)
	case z.LostServers > z.Servers:
		return fieldError("lost_servers", z.LostServers)
	}
	return nil
}

func (in *Intent) check() error {
	if err := firstError(checkNumber("age_ms", in.AgeMS, math.MaxInt64), checkNumber("held_ms", in.LeaseMS, maxMS)); err != nil {
		return err
	}
	if len(in.Items) > maxItems {
		return fieldError("items", len(in.Items))
	}
	seen := map[string]bool{}
	for i, it := range in.Items {
		if err := it.Check(); err != nil {
			return fmt.Errorf("items[%d]: %w", i, err)
		}
		if it.Revision > in.Revision {
			return fieldError("rev", it.Revision)
		}
		if seen[it.Key] {
			return fieldError("items", it.Key+" twice")
		}
		seen[it.Key] = true
	}
	return nil
}

// Check validates an item with its body.
func (it *Item) Check() error {
	if err := checkName("key", it.Key); err != nil {
		return err
	}
	if it.Revision == 0 {
		return fieldError("rev", it.Revision)
	}
	if it.Removed {
		return nil
	}
	kind, _, ok := strings.Cut(it.Key, "/")
	if !ok {
		return fieldError("key", it.Key)
	}
	switch kind {
	case "zone":
		return checkBody(it, func(d *Directive) error { return d.check() })
	case "tenant":
		return checkBody(it, func(t *Tenant) error {
			if t.UID == 0 {
				return fieldError("uid", 0)
			}
			return firstError(t.Committed.check("committed"), t.Staged.check("staged"))
		})
	case "share":
		return checkBody(it, func(s *QuotaLease) error {
			for k, v := range s.Rates {
				if err := firstError(checkName("rates", k), checkNumber("rates."+k, v, maxRate)); err != nil {
					return err
				}
			}
			return checkNumber("slots", s.Slots, maxCount)
		})
	}
	return nil
}

func checkBody[T any](it *Item, check func(*T) error) error {
	var v *T
	if err := json.Unmarshal(it.Body, &v); err != nil {
		return fmt.Errorf("%w: %s: %w", ErrInvalid, it.Key, err)
	}
	if v == nil {
		return fieldError(it.Key, "no body")
	}
	if err := check(v); err != nil {
		return fmt.Errorf("%s: %w", it.Key, err)
	}
	return nil
}

func (d *Directive) check() error {
	switch d.Phase {
	case Serving, Evacuated, Probation, Recovering:
	default:
		return fieldError("phase", d.Phase)
	}
	return firstError(checkNumber("share", d.Share, 1), checkNumber("floor", d.Floor, d.Share), checkNumber("budget", d.Budget, maxRate),
		checkNumber("slots", d.Slots, maxCount), checkNumber("valid_ms", d.ValidMS, maxMS), checkNumber("hold_ms", d.BackoffMS, maxMS),
		checkNumber("step", d.Step, maxCount), checkNumber("relapse", d.Relapses, maxCount))
}

func (g *Generation) check(field string) error {
	if g == nil {
		return nil
	}
	if g.Number == 0 {
		return fieldError(field+".number", 0)
	}
	q := g.Spec.Quota
	if err := firstError(checkName(field+".spec.name", g.Spec.Name), checkText(field+".digest", g.Digest, 16),
		checkNumber(field+".spec.quota.rate", q.Rate, maxRate), checkNumber(field+".spec.quota.burst", q.Burst, maxRate)); err != nil {
		return err
	}
	for c, v := range q.Classes {
		if err := checkNumber(field+".spec.quota.classes."+c, v, maxRate); err != nil {
			return err
		}
	}
	for _, r := range g.Spec.Routes {
		if err := checkNumber(field+".spec.routes.weight", r.Weight, maxRate); err != nil {
			return err
		}
	}
	return nil
}
