package node

import "sync"

// This file has the limits on the number of requests that the node serves at a time. A request takes a place while it waits for
// its answer. A request whose long body or long answer is being relayed has a place of another kind, as its client may take any
// time to send or read it: slow clients leave the places of other requests free.

// requestSlot is the place of a request.
type requestSlot struct {
	frontend *frontend

	mu       sync.Mutex // guards the fields below
	open     bool       // the request counts as open
	transfer bool       // the request counts as one whose long body or long answer is being relayed
}

// isBusy reports whether the node serves as many requests as it may.
func (f *frontend) isBusy(maxOpen int) bool {
	open := f.openRequests.Load()
	return open >= f.maxOpenRequests || maxOpen > 0 && open >= int64(maxOpen)
}

// reserve returns a place for a request, which may have a long body, or nil if the node already serves as many as it may or has no
// memory for it.
func (f *frontend) reserve(maxOpen int, hasLongBody bool) *requestSlot {
	if hasLongBody {
		if !f.takeTransfer() {
			return nil
		}
		return &requestSlot{frontend: f, transfer: true}
	}
	open := f.openRequests.Add(1)
	if open+f.openTransfers.Load() > f.maxOpenRequests || maxOpen > 0 && open > int64(maxOpen) || !f.memory.take(openRequestMemory, openRequestBytes) {
		f.openRequests.Add(-1)
		return nil
	}
	return &requestSlot{frontend: f, open: true}
}

// memory returns the budget that the request's answers count against. A nil s is allowed, also in the methods below.
func (s *requestSlot) memory() *memoryBudget {
	if s == nil {
		return nil
	}
	return s.frontend.memory
}

// takeTransfer takes a place for relaying a long body or a long answer, and reports whether there is one. They may take half of all
// places.
func (f *frontend) takeTransfer() bool {
	if f.openTransfers.Add(1) > max(1, f.maxOpenRequests/2) || !f.memory.take(transferMemory, openRequestBytes) {
		f.openTransfers.Add(-1)
		return false
	}
	return true
}

// beginStream makes the place that of a long answer, and reports whether there is one.
func (s *requestSlot) beginStream() bool {
	if s == nil {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.transfer && s.open {
		s.transfer = s.frontend.takeTransfer()
	}
	return s.transfer
}

// answered frees the place when the answer begins, or only that of the wait for it if the answer is a long one.
func (s *requestSlot) answered(isStream bool) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.freeOpen()
	if !isStream {
		s.freeTransfer()
	}
}

// release frees the place. Later calls have no effect.
func (s *requestSlot) release() { s.answered(false) }

// freeOpen frees the place of an open request. The caller holds mu.
func (s *requestSlot) freeOpen() {
	if s.open {
		s.open = false
		s.frontend.openRequests.Add(-1)
		s.frontend.memory.add(openRequestMemory, -openRequestBytes)
	}
}

// freeTransfer frees the place of a long body or answer. The caller holds mu.
func (s *requestSlot) freeTransfer() {
	if s.transfer {
		s.transfer = false
		s.frontend.openTransfers.Add(-1)
		s.frontend.memory.add(transferMemory, -openRequestBytes)
	}
}
