// Package linearizability checks recorded histories of discovery's clients for linearizability with porcupine: registrations
// and consistent reads (GET /registry/instances?consistent=1) must look as if each took effect at one instant
// between its call and its recovery. The list is checked id by id: a registration sets an id, a read reports whether
// it held it.
package linearizability

import (
	"math"
	"time"

	"github.com/anishathalye/porcupine"
)

// Operation is one client call as recorded. Times are Unix ns.
type Operation struct {
	Client  int
	Write   bool     // a registration of ID; otherwise a read that answered IDs
	ID      string   // of a write
	IDs     []string // of a read
	Call    int64
	Return  int64
	Unknown bool // a write whose outcome is not known (timed out, not committed): it may take effect at any later time
}

type input struct {
	write bool
	id    string
}

var model = porcupine.Model{
	Init: func() any { return false },
	Step: func(state, in, out any) (bool, any) {
		i := in.(input)
		if i.write {
			return true, true
		}
		return out.(bool) == state.(bool), state
	},
	Equal: func(a, b any) bool { return a == b },
}

// Result is the check's verdict over every id.
type Result struct {
	IDs        int
	Violations []string // ids whose history is not linearizable
	Unknown    []string // ids whose check ran out of time
}

// Check checks each id's projection of the history, within timeout for each.
func Check(history []Operation, timeout time.Duration) Result {
	ids := map[string]bool{}
	for _, o := range history {
		if o.Write {
			ids[o.ID] = true
		}
	}
	var r Result
	for id := range ids {
		r.IDs++
		var ops []porcupine.Operation
		for _, o := range history {
			ret := o.Return
			if o.Unknown {
				ret = math.MaxInt64
			}
			switch {
			case o.Write && o.ID == id:
				ops = append(ops, porcupine.Operation{ClientId: o.Client, Input: input{true, id}, Call: o.Call, Return: ret})
			case !o.Write:
				has := false
				for _, got := range o.IDs {
					has = has || got == id
				}
				ops = append(ops, porcupine.Operation{ClientId: o.Client, Input: input{false, id}, Output: has, Call: o.Call, Return: ret})
			}
		}
		switch porcupine.CheckOperationsTimeout(model, ops, timeout) {
		case porcupine.Illegal:
			r.Violations = append(r.Violations, id)
		case porcupine.Unknown:
			r.Unknown = append(r.Unknown, id)
		}
	}
	return r
}
