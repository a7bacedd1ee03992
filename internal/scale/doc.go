// Package scale measures how the control plane bears its size (docs/scale.md). A sweep varies one dimension over sizes
// in geometric steps and holds the others; at each size it runs real discovery replicas and hollow processes
// (internal/scale/hollow), carries out a schedule of changes and restarts, and measures each role. A fit over all sizes but
// the largest gives slope, intercept and exponent, and predicts the largest.
//
// Before anything starts the sweep's needs are worked out and compared with the machine's limits (Check); while it runs the
// same is watched once a second, and a sweep that would pass a limit ends with what it has, marked partial.
package scale
