package fleet

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"unicode/utf8"
)

// Limits on what one body may hold; more is refused whole.
const (
	nameLimit = 128  // bytes of a name: node, zone, tenant, server id
	textLimit = 1024 // bytes of a reason
	zoneLimit = 256
	manyLimit = 16 << 10 // tenants, facts, keys asked for, items
	countMost = 1 << 30  // of a count
	rateMost  = 1e12     // of a rate, requests/s
	msMost    = 86_400_000
)

// DecodeReport reads the body of POST /fleet/v1/report. Members it does not know are ignored. Anything else that
// does not fit the type, is too much, is negative where nothing can be, or contradicts itself is ErrInvalid with
// the member's name; nothing of such a report is used.
func DecodeReport(b []byte) (Report, error) {
	var r Report
	if err := decode(b, ReportLimit, &r); err != nil {
		return Report{}, err
	}
	if err := r.check(); err != nil {
		return Report{}, err
	}
	return r, nil
}

// DecodeIntent reads an answer of GET /fleet/v1/intent, or an agent's durable copy. Bodies of zones, tenants and
// shares are read through; items of other kinds are kept as they are (a newer control plane may have them).
// The errors are DecodeReport's.
func DecodeIntent(b []byte) (Intent, error) {
	var in Intent
	if err := decode(b, IntentLimit, &in); err != nil {
		return Intent{}, err
	}
	if err := in.check(); err != nil {
		return Intent{}, err
	}
	return in, nil
}

func decode(b []byte, limit int, v any) error {
	if len(b) > limit {
		return fmt.Errorf("%w: %d bytes, at most %d", ErrInvalid, len(b), limit)
	}
	if !utf8.Valid(b) {
		return fmt.Errorf("%w: not UTF-8", ErrInvalid)
	}
	if err := json.Unmarshal(b, v); err != nil { // refuses what follows the value, too
		return fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return nil
}

// bad is an error on a member.
func bad(field string, v any) error { return fmt.Errorf("%w: %s: %.80v", ErrInvalid, field, v) }

// number is a count or a rate that can be: nothing negative, not a number or beyond most.
func number[T int | int64 | float64](field string, v T, most float64) error {
	if f := float64(v); !(f >= 0 && f <= most) { // so NaN is refused
		return bad(field, v)
	}
	return nil
}

// name is a name that may stand in a key, a log line and a metric.
func name(field, s string) error {
	if s == "" || len(s) > nameLimit || strings.ContainsFunc(s, func(r rune) bool { return r < ' ' || r == 0x7f || r == utf8.RuneError }) {
		return bad(field, fmt.Sprintf("%q", s))
	}
	return nil
}

// first gives the first error.
func first(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func text(field, s string, most int) error {
	if len(s) > most {
		return bad(field, fmt.Sprintf("%d bytes", len(s)))
	}
	return nil
}

func (r *Report) check() error {
	if err := first(name("node", r.Node), name("zone", r.Zone), number("window_ms", r.WindowMS, msMost),
		text("root", r.Root, 16), text("list_root", r.ListRoot, 16), ValidScope(r.Services)); err != nil {
		return err
	}
	if r.Incarnation == 0 {
		return bad("incarnation", 0)
	}
	if len(r.Zones) > zoneLimit || len(r.Tenants) > manyLimit || len(r.Held) > manyLimit {
		return bad("report", "too many zones, tenants or facts")
	}
	seen := map[string]bool{}
	for i, z := range r.Zones {
		if err := z.check(); err != nil {
			return fmt.Errorf("zones[%d]: %w", i, err)
		}
		if seen["z"+z.Zone] {
			return bad("zones", z.Zone+" twice")
		}
		seen["z"+z.Zone] = true
	}
	for i, t := range r.Tenants {
		if err := first(name("name", t.Name), text("digest", t.Digest, 16), text("refused", t.Refused, textLimit),
			number("open", t.Open, countMost), number("offered", t.Offered, rateMost),
			number("admitted", t.Admitted, rateMost), number("rate", t.Rate, rateMost)); err != nil {
			return fmt.Errorf("tenants[%d]: %w", i, err)
		}
		if seen["t"+t.Name] {
			return bad("tenants", t.Name+" twice")
		}
		seen["t"+t.Name] = true
	}
	for i, h := range r.Held {
		if err := first(name("key", h.Key), text("digest", h.Digest, 16), text("by", h.By, nameLimit)); err != nil {
			return fmt.Errorf("held[%d]: %w", i, err)
		}
		if seen["h"+h.Key] {
			return bad("held", h.Key+" twice")
		}
		seen["h"+h.Key] = true
	}
	return nil
}

func (z *ZoneCount) check() error {
	if err := first(name("zone", z.Zone), number("attempts", z.Attempts, countMost), number("lost", z.Lost, countMost),
		number("servers", z.Servers, countMost), number("lost_servers", z.LostServers, countMost),
		number("ok", z.OK, countMost), number("listed", z.Listed, countMost), number("sent", z.Sent, countMost),
		number("rate", z.Rate, rateMost)); err != nil {
		return err
	}
	switch {
	case z.Lost > z.Attempts:
		return bad("lost", z.Lost)
	case z.OK > z.Attempts:
		return bad("ok", z.OK)
	case z.LostServers > z.Servers:
		return bad("lost_servers", z.LostServers)
	}
	return nil
}

func (in *Intent) check() error {
	if err := first(number("age_ms", in.AgeMS, math.MaxInt64), number("held_ms", in.HeldMS, msMost)); err != nil {
		return err
	}
	if len(in.Items) > manyLimit {
		return bad("items", len(in.Items))
	}
	seen := map[string]bool{}
	for i, it := range in.Items {
		if err := it.Check(); err != nil {
			return fmt.Errorf("items[%d]: %w", i, err)
		}
		if it.Rev > in.Revision {
			return bad("rev", it.Rev)
		}
		if seen[it.Key] {
			return bad("items", it.Key+" twice")
		}
		seen[it.Key] = true
	}
	return nil
}

// Check reads an item through, body and all.
func (it *Item) Check() error {
	if err := name("key", it.Key); err != nil {
		return err
	}
	if it.Rev == 0 {
		return bad("rev", it.Rev)
	}
	if it.Gone {
		return nil
	}
	kind, _, ok := strings.Cut(it.Key, "/")
	if !ok {
		return bad("key", it.Key)
	}
	switch kind {
	case "zone":
		return body(it, func(d *Directive) error { return d.check() })
	case "tenant":
		return body(it, func(t *Tenant) error {
			if t.UID == 0 {
				return bad("uid", 0)
			}
			return first(t.Committed.check("committed"), t.Staged.check("staged"))
		})
	case "share":
		return body(it, func(s *Shares) error {
			for k, v := range s.Rates {
				if err := first(name("rates", k), number("rates."+k, v, rateMost)); err != nil {
					return err
				}
			}
			return number("slots", s.Slots, countMost)
		})
	}
	return nil
}

func body[T any](it *Item, check func(*T) error) error {
	var v *T
	if err := json.Unmarshal(it.Body, &v); err != nil {
		return fmt.Errorf("%w: %s: %w", ErrInvalid, it.Key, err)
	}
	if v == nil {
		return bad(it.Key, "no body")
	}
	if err := check(v); err != nil {
		return fmt.Errorf("%s: %w", it.Key, err)
	}
	return nil
}

func (d *Directive) check() error {
	switch d.Phase {
	case Serving, Left, Probation, Returning:
	default:
		return bad("phase", d.Phase)
	}
	return first(number("share", d.Share, 1), number("floor", d.Floor, d.Share), number("budget", d.Budget, rateMost),
		number("slots", d.Slots, countMost), number("valid_ms", d.ValidMS, msMost), number("hold_ms", d.HoldMS, msMost),
		number("step", d.Step, countMost), number("relapse", d.Relapse, countMost))
}

func (g *Generation) check(field string) error {
	if g == nil {
		return nil
	}
	if g.Number == 0 {
		return bad(field+".number", 0)
	}
	q := g.Spec.Quota
	if err := first(name(field+".spec.name", g.Spec.Name), text(field+".digest", g.Digest, 16),
		number(field+".spec.quota.rate", q.Rate, rateMost), number(field+".spec.quota.burst", q.Burst, rateMost)); err != nil {
		return err
	}
	for c, v := range q.Classes {
		if err := number(field+".spec.quota.classes."+c, v, rateMost); err != nil {
			return err
		}
	}
	for _, r := range g.Spec.Routes {
		if err := number(field+".spec.routes.weight", r.Weight, rateMost); err != nil {
			return err
		}
	}
	return nil
}
