package capacity

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
)

// table is one table of the page; name is the name in its markers.
type table struct {
	name string
	head []string
	rows [][]string
}

func (t *table) add(cells ...string) { t.rows = append(t.rows, cells) }

// markdown returns the table in Markdown, as it stands in the page.
func (t table) markdown() string {
	var b strings.Builder
	line := func(cells []string) { b.WriteString("| " + strings.Join(cells, " | ") + " |\n") }
	line(t.head)
	line(slices.Repeat([]string{"---"}, len(t.head)))
	for _, row := range t.rows {
		line(row)
	}
	return b.String()
}

const (
	digits    = 2    // number of significant digits of a figure
	minFigure = 1e-6 // a figure below this bound is written as "under" the bound
)

// plain formats a number without rounding, and an integer with separators for thousands.
func plain(v float64) string {
	text := strconv.FormatFloat(v, 'f', -1, 64)
	complete, rest, _ := strings.Cut(text, ".")
	if rest != "" {
		return text
	}
	return thousands(complete)
}

func thousands(complete string) string {
	if below, negative := strings.CutPrefix(complete, "-"); negative {
		return "-" + thousands(below)
	}
	for i := len(complete) - 3; i > 0; i -= 3 {
		complete = complete[:i] + "," + complete[i:]
	}
	return complete
}

// figure formats a number with two significant digits, or with three from 100 on.
func figure(v float64) string {
	switch {
	case v == 0:
		return "0"
	case math.Abs(v) < minFigure:
		return "under 0.000001"
	}
	precision := digits
	if math.Abs(v) >= 100 {
		precision = digits + 1
	}
	scale := math.Pow(10, float64(precision-1)-math.Floor(math.Log10(math.Abs(v))))
	return plain(math.Round(v*scale) / scale)
}

// prefix is a larger unit that replaces a unit for values of at least from.
type prefix struct {
	unit   string
	larger string
	from   float64
	scale  float64
}

var prefixes = []prefix{
	{"ns", "ms", 1e6, 1e6}, {"ns", "µs", 1e3, 1e3},
	{"B", "GB", 1e9, 1e9}, {"B", "MB", 1e6, 1e6}, {"B", "KB", 1e4, 1e3},
	{"B/s", "MB/s", 1e6, 1e6}, {"B/s", "KB/s", 1e4, 1e3},
	{"ms", "s", 1e4, 1e3}, {"s", "h", 7200, 3600},
}

// exact formats an allowed value: numbers of items and entries without rounding, anything else as number does.
func exact(v float64, unit string) string {
	if unit == "items" || unit == "entries" {
		return plain(v) + " " + unit
	}
	return number(v, unit)
}

// number formats a figure with its unit, in a larger or smaller unit where that is easier to read.
func number(v float64, unit string) string {
	for _, p := range prefixes {
		if p.unit == unit && math.Abs(v) >= p.from {
			return figure(v/p.scale) + " " + p.larger
		}
	}
	if unit == "s" && v > 0 && v < 0.1 {
		return figure(v*msPerS) + " ms"
	}
	return strings.TrimSpace(figure(v) + " " + unit)
}

const notRun = "not run"

func slopesTable(name string, s Slopes) table {
	out := table{name: name, head: []string{"slope", "what", "value (range)", "per", "exponent", "repeats", "measured by"}}
	for _, slope := range s.Slopes {
		if !slope.Measured() {
			out.add("`"+string(slope.ID)+"`", slope.Quantity, notRun, slope.Per, "", "", "")
			continue
		}
		scale, per := 1.0, slope.Per
		if slope.Flat() {
			scale, per = slope.Largest, "any number of "+slope.Per
		}
		value := fmt.Sprintf("%s (%s to %s)", number(scale*slope.Value, string(slope.Unit)), number(scale*slope.Low, string(slope.Unit)),
			number(scale*slope.High, string(slope.Unit)))
		by, fitted := "`"+slope.Command+"`", ""
		if slope.Source != "" {
			by += ", " + slope.Source
		}
		if slope.Exponent != 0 {
			fitted = strconv.FormatFloat(slope.Exponent, 'f', 2, 64)
		}
		out.add("`"+string(slope.ID)+"`", slope.Quantity, value, per, fitted, strconv.Itoa(slope.Repeats), by)
	}
	return out
}

func verdict(r Row, p Plan) string {
	if r.NotRun {
		return notRun
	}
	if r.IsWithinBound() {
		return "holds"
	}
	return "**does not hold**: to " + reached(r, p)
}

// reached returns the part of the plan up to which a row holds, with the sizes at that part of those counts that its formula names.
func reached(r Row, p Plan) string {
	var counts []string
	for _, count := range []struct {
		name    string
		planned float64
	}{{"nodes", p.Size.Nodes}, {"servers", p.Size.Servers}, {"tenants", p.Size.Tenants}} {
		if strings.Contains(r.formula, count.name) {
			counts = append(counts, figure(r.Part*count.planned)+" "+count.name)
		}
	}
	text := share(r.Part) + " of the plan"
	if len(counts) == 0 {
		return text
	}
	return text + ", " + strings.Join(counts, " and ")
}

// share formats a part as a percentage.
func share(part float64) string { return figure(percent*part) + " %" }

// before returns a row's result before the mechanism, and the part of the plan up to which the row held.
func before(r Row) string {
	if r.NotRun {
		return notRun
	}
	result := number(r.Result, r.unit)
	if r.IsWithinBound() {
		return result + ", held"
	}
	return result + ", to " + share(r.Part)
}

// roleTable returns the table of a role. past holds all rows from before the mechanism, in the same order as rows.
func roleTable(role Role, rows, past []Row, p Plan) table {
	out := table{name: "role " + string(role),
		head: []string{"cost", "formula", "slopes", "before", "at the planned size", "allowed", "share used", "verdict", "carried by"}}
	for index, row := range rows {
		if row.role != role {
			continue
		}
		ids := make([]string, len(row.slopes))
		for i, id := range row.slopes {
			ids[i] = "`" + string(id) + "`"
		}
		result := number(row.Result, row.unit)
		allowed := exact(row.Allowed, row.unit)
		used := share(row.Result / row.Allowed)
		if row.NotRun {
			result, used = notRun, ""
		}
		if row.assumptions != "" {
			result += ", reckoned: " + row.assumptions
		}
		if row.boundReason != "" {
			allowed += ": " + row.boundReason
		}
		out.add(row.quantity, row.formula, strings.Join(ids, ", "), before(past[index]), result, allowed, used, verdict(row, p),
			string(row.mechanism))
	}
	return out
}

func missingTable(rows []Row, p Plan) table {
	out := table{name: "missing", head: []string{"", "mechanism", "breaks first", "at", "further costs that want it"}}
	for i, m := range MissingFirst(rows) {
		broken := fmt.Sprintf("%s: %s, allowed %s", m.First.quantity, number(m.First.Result, m.First.unit), exact(m.First.Allowed, m.First.unit))
		out.add(strconv.Itoa(i+1), string(m.Mechanism), broken, reached(m.First, p), strconv.Itoa(m.Others))
	}
	return out
}

func inForceTable(p Plan, current, previous Slopes) table {
	all, scoped := wholeFleet(p), inScope(p)
	old := pastStages()
	out := table{name: "in force", head: []string{"step", "before: every tenant on every node", "in a burst",
		fmt.Sprintf("now, in scope: %s tenants, %s nodes", figure(scoped.tenants), figure(scoped.nodes)), "in a burst"}}
	for i, st := range stages {
		out.add(st.name, number(old[i].at(p, previous, all, false), "s"), number(old[i].at(p, previous, all, true), "s"),
			number(st.at(p, current, scoped, false), "s"), number(st.at(p, current, scoped, true), "s"))
	}
	bound := func(sum float64) string {
		if sum > p.Allowed.InForceS {
			return "**" + number(sum, "s") + ": does not hold**"
		}
		return "**" + number(sum, "s") + ": holds**"
	}
	out.add(fmt.Sprintf("sum, %s s allowed", plain(p.Allowed.InForceS)), bound(inForceS(old, p, previous, all, false)),
		bound(inForceS(old, p, previous, all, true)), bound(inForceS(stages, p, current, scoped, false)), bound(inForceS(stages, p, current, scoped, true)))
	return out
}

func missedTable(p Plan, current, previous Slopes) table {
	out := table{name: "missed", head: []string{"cause", "a day", "window of puts", "part that missed before", "changes a day before",
		"part that misses", "changes a day"}}
	misses, past := Misses(p, current), PastMisses(p, previous)
	for i, m := range misses {
		out.add(m.Cause, figure(m.PerDay), number(m.WindowS, "s"), share(past[i].Part), figure(past[i].Changes), share(m.Part), figure(m.Changes))
	}
	sum := func(misses []Miss) string {
		missed := missedChanges(misses)
		return fmt.Sprintf("**%s of %s, %s**", figure(missed), plain(p.Size.ChangesPerDay), share(missed/p.Size.ChangesPerDay))
	}
	out.add("**all**", "", "", "", sum(past), "", sum(misses))
	return out
}

func failuresTable(p Plan, s Slopes) table {
	out := table{name: "failures", head: []string{"event", "how often", "nodes, servers", "what is lost", "for how long", "commands of raft's log",
		"list, to all nodes", "joins, the leader's lock"}}
	for _, f := range failures(p) {
		out.add(f.event, f.frequency, figure(f.nodes)+", "+figure(f.servers), f.lost, f.duration, figure(f.commands()), number(f.listBytes(p, s), "B"),
			number(f.joinLockS(p, s), "s"))
	}
	return out
}

func startsTable(p Plan, s Slopes) table {
	out := table{name: "starts", head: []string{"event", "bytes", "seconds", "set by", "what holds off the rush"}}
	for _, st := range starts {
		out.add(st.event, number(st.bytes(p, s), "B"), number(st.seconds(p, s), "s"), st.limit, st.protection)
	}
	return out
}

// tables returns all tables of the page.
func tables(in Inputs) []table {
	plan, slopes := in.Plan, in.Slopes
	rows, past := Rows(plan, slopes), PastRows(plan, in.Before)
	out := []table{missingTable(rows, plan), dataPathTable(plan, in.DataPath)}
	for _, role := range []Role{RoleNode, RoleAgent, RoleLeader, RoleFollower, RoleRegistrant, RoleOperator} {
		out = append(out, roleTable(role, rows, past, plan))
	}
	return append(out, inForceTable(plan, slopes, in.Before), missedTable(plan, slopes, in.Before), startsTable(plan, slopes), failuresTable(plan, slopes),
		openTable(plan, slopes), slopesTable("slopes", slopes), slopesTable("slopes before", in.Before))
}
