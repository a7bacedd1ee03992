// Package linearizability checks recorded histories of discovery's clients for linearizability with porcupine. Each
// registration and each consistent read (GET /registry/instances?consistent=1) must appear to take effect at one instant
// between its call and its return. Each id is checked separately: a registration adds the id, and a read reports whether
// the list has it.
package linearizability

import (
	"math"
	"time"

	"github.com/anishathalye/porcupine"
)

// Operation is one recorded client call. Times are in Unix ns.
type Operation struct {
	Client  int
	Write   bool     // the call is a registration of ID; otherwise it is a read that returned IDs
	ID      string   // registered id, for a write
	IDs     []string // ids in the answer, for a read
	Call    int64
	Return  int64
	Unknown bool // the outcome of the write is unknown (timed out, not committed): it may take effect at any later time
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

// Result is the outcome of a check over all ids.
type Result struct {
	IDs        int
	Violations []string // ids whose history is not linearizable
	Unknown    []string // ids whose check ran out of time
}

// Check checks the projection of the history on each id, with a time limit of timeout for each id.
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
