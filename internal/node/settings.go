package node

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"meadowsill/policy"
)

// requestRules are the settings that apply to a request, with the classes by name. A request keeps the rules that were in
// force when it arrived.
type requestRules struct {
	policy.Settings
	classes map[string]policy.Class
}

// newRequestRules returns the rules that settings make.
func newRequestRules(s policy.Settings) *requestRules {
	r := &requestRules{s, map[string]policy.Class{}}
	for _, c := range s.Classes {
		r.classes[c.Name] = c
	}
	return r
}

// requiredKeys and requiredClassKeys are the keys that a complete configuration has: all that are not optional.
var (
	requiredKeys = strings.Fields(`name listen discovery seed limits settings
		settings.balancers settings.caps settings.charges settings.classes settings.client_habits settings.failure_domains
		settings.family settings.goal settings.invariants settings.kinds settings.membership_mode settings.over_share_worth
		settings.report settings.slot_no settings.specifics settings.tick_ns settings.tier settings.tiers
		settings.weight_kind settings.worth_by settings.zone settings.client_habits.marks_retry
		settings.caps.cancel settings.caps.conn_idle_ns settings.caps.connect_timeout_ns settings.caps.cpu_us_per_request
		settings.caps.cpu_us_per_s settings.caps.max_attempts settings.caps.max_retry_after_ns settings.caps.may_duplicate
		settings.caps.most_held settings.caps.multiplex settings.caps.peers settings.caps.probes settings.caps.retry_after
		settings.charges.connection settings.charges.cross_zone settings.charges.handshake settings.charges.late_fail
		settings.charges.membership_mode settings.charges.moves settings.charges.origin settings.charges.peer
		settings.charges.probe settings.charges.waste
		settings.goal.whole settings.goal.worst_class settings.goal.worst_tenant settings.goal.worst_window
		settings.invariants.answer_slack_ns settings.invariants.ask_within_ns settings.invariants.cold_from
		settings.invariants.cold_ns settings.invariants.drain_grace_ns settings.invariants.overload_factor
		settings.invariants.tip_after_ns settings.report.fields settings.report.how`)
	requiredClassKeys = strings.Fields(`name aim_ns dedup_window_ns effect give_up_ns importance key_scope late_worth streamed`)
)

// checkComplete returns an error that names the first required key that is missing from a configuration.
func checkComplete(raw []byte) error {
	var tree any
	if err := json.Unmarshal(raw, &tree); err != nil {
		return err
	}
	for _, path := range requiredKeys {
		if valueAt(tree, path) == nil {
			return fmt.Errorf("%s is missing", path)
		}
	}
	classes, _ := valueAt(tree, "settings.classes").([]any)
	for i, class := range classes {
		for _, key := range requiredClassKeys {
			if valueAt(class, key) == nil {
				return fmt.Errorf("settings.classes, entry %d: %s is missing", i, key)
			}
		}
	}
	return nil
}

// valueAt returns the value at a path of keys that are joined by dots, or nil if there is no value or it is null.
func valueAt(tree any, path string) any {
	for key := range strings.SplitSeq(path, ".") {
		object, _ := tree.(map[string]any)
		tree = object[key]
	}
	return tree
}

// checkUsable returns an error if a node could not run with the settings.
func checkUsable(s policy.Settings) error {
	if len(s.Classes) == 0 {
		return errors.New("classes are missing")
	}
	if s.ConnectTimeout <= 0 {
		return errors.New("caps.connect_timeout_ns is not positive")
	}
	if s.MaxAttempts <= 0 {
		return errors.New("caps.max_attempts is not positive")
	}
	for i, c := range s.Classes {
		if c.Name == "" || slices.ContainsFunc(s.Classes[:i], func(o policy.Class) bool { return o.Name == c.Name }) {
			return fmt.Errorf("classes, entry %d: the name %q is empty or another's", i, c.Name)
		}
		if c.Deadline <= 0 {
			return fmt.Errorf("class %s: give_up_ns is not positive", c.Name)
		}
		if c.LatencyObjective < 0 {
			return fmt.Errorf("class %s: aim_ns is negative", c.Name)
		}
	}
	return nil
}
