// Package architecture checks docs/ARCHITECTURE.md against the code: the functions that its tables name must exist, and its map
// must list every package with its imports, in layers such that a package imports only packages of lower layers.
package architecture
