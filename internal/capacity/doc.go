// Package capacity computes the figures of docs/CAPACITY.md: the cost of each role of the control plane at the planned size, from
// measured slopes, compared with the allowed cost. It renders the page's tables, so that the page always agrees with the figures. It
// reads no clock, and reads files only in Files.Read.
package capacity
