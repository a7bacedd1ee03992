// Package capacity is the arithmetic of docs/CAPACITY.md: what each role of the control plane costs at the planned size, by
// measured slopes, against what is allowed. It renders the page's tables, so that page and figures cannot part. It reads no clock, and no
// file but by Files.Read.
package capacity
