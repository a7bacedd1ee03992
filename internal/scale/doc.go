// Package scale measures how the costs of the control plane grow with its size (docs/scale.md). A sweep varies one dimension over
// sizes in geometric steps and keeps the others constant. At each size it runs real discovery replicas and hollow processes
// (internal/scale/hollow), carries out a schedule of changes and restarts, and measures each role. A fit over all sizes but the
// largest gives slope, intercept and exponent, and predicts the value at the largest size.
//
// Before anything starts, the needs of the sweep are estimated and compared with the machine's limits (Check). While the sweep runs,
// its use is checked once a second. A sweep that would exceed a limit ends early, and its results so far are marked partial.
package scale
